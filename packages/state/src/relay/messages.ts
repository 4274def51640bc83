/**
Table service calls that one process performs for another, and their responses.
*/
import {type JsonValue, z} from '@poplarnotch/common';
import {type PageOptions, transactionSchema, type Transaction} from '@poplarnotch/platform';

/** Name of the RPC method. */
export const relayMethod = 'table.perform';

export type RelayedCall
	= | {readonly type: 'commit'; readonly transaction: Transaction}
		| {readonly type: 'readRows'; readonly keys: readonly string[]}
		| {readonly type: 'readPrefix'; readonly prefix: string; readonly options: PageOptions}
		| {readonly type: 'changesSince'; readonly prefix: string; readonly revision: number}
		| {readonly type: 'listRows'; readonly prefix: string}
		| {readonly type: 'readRevision'};

export const relayedCallSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('commit'), transaction: transactionSchema}),
	z.object({type: z.literal('readRows'), keys: z.array(z.string())}),
	z.object({
		type: z.literal('readPrefix'), prefix: z.string(), options: z.object({afterKey: z.string().optional(), limit: z.number().optional()}),
	}),
	z.object({type: z.literal('changesSince'), prefix: z.string(), revision: z.number()}),
	z.object({type: z.literal('listRows'), prefix: z.string()}),
	z.object({type: z.literal('readRevision')}),
]);

export const relayResponseSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('result'), result: z.custom<JsonValue>()}),
	z.object({
		type: z.literal('conflict'),
		conflicts: z.array(z.object({key: z.string(), expectedVersion: z.number(), actualVersion: z.number()})),
	}),
	z.object({type: z.literal('rejected'), message: z.string()}),
	z.object({type: z.literal('history-lost'), message: z.string()}),
	z.object({type: z.literal('unknown-outcome'), message: z.string()}),
	z.object({type: z.literal('unavailable'), message: z.string()}),
]);

export type RelayResponse = z.infer<typeof relayResponseSchema>;
