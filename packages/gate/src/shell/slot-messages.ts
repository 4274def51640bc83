/**
The RPC method `slots.deliver`, with which gates exchange the messages of the slot rebalancing: `{from, to, messages}`. A delivery is addressed to one incarnation of the receiving gate. A later incarnation discards it, because the earlier one may already have processed it.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	formatFinding, InvalidInputError, parseWith, z,
} from '@poplarnotch/common';
import {type SlotMessage, type SlotPeer} from '../slots/types.js';

export const deliverSlotsMethod = 'slots.deliver';

const wholeSchema = z.number().int().nonnegative();
const countsSchema = z.record(z.string(), wholeSchema);
const weightsSchema = z.record(z.string(), z.number().nonnegative());

const reportSchema = z.object({
	pool: z.string(), demands: countsSchema, held: countsSchema, isLeaving: z.boolean(),
});

const orderSchema = z.object({host: z.string(), keep: wholeSchema, to: countsSchema});

const messageSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('slotReport'), pools: z.array(reportSchema)}),
	z.object({
		type: z.literal('slotOrders'), pool: z.string(), weights: weightsSchema, orders: z.array(orderSchema),
	}),
	z.object({type: z.literal('slotGive'), sequence: wholeSchema, slots: countsSchema}),
	z.object({type: z.literal('slotTaken'), sequence: wholeSchema}),
	z.object({
		type: z.literal('slotCensus'), round: wholeSchema, revision: wholeSchema, members: countsSchema,
	}),
	z.object({
		type: z.literal('slotPromise'), round: wholeSchema, incarnation: wholeSchema, held: countsSchema,
	}),
	z.object({type: z.literal('slotRoundOver'), round: wholeSchema}),
]);

const peerSchema = z.object({gate: z.string(), incarnation: wholeSchema});

const deliverySchema = z.object({from: peerSchema, to: peerSchema, messages: z.array(messageSchema)});

/** Messages from one gate to another. */
export type SlotDelivery = {
	readonly from: SlotPeer;
	readonly to: SlotPeer;
	readonly messages: readonly SlotMessage[];
};

/** Parses the parameters of `slots.deliver`. Throws `InvalidInputError` for malformed ones. */
export const readSlotDelivery = (parameters: unknown): SlotDelivery => {
	const parsed = parseWith(deliverySchema, parameters, deliverSlotsMethod);
	if (E.isLeft(parsed)) {
		throw new InvalidInputError(parsed.left.map(formatFinding).join('; '));
	}

	return parsed.right;
};
