/**
Claims as they are stored in the table service. A claim's row is written before its request is dispatched, so that no other gate dispatches a request with the same idempotency key.
*/
import {createHash} from 'node:crypto';
import {type JsonObject, type JsonValue, z} from '@poplarnotch/common';

const recordedOutcomeSchema = z.object({
	status: z.number().int(),
	headers: z.record(z.string(), z.string()),
	bodyBase64: z.string().optional(),
});

/** The row of a claim. */
export const claimRowSchema = z.object({
	/** A row in state `released` may be taken over. It is not deleted at once: a late write of the claim, made under the condition that the row is absent, must still fail. */
	state: z.enum(['running', 'recorded', 'unknown', 'released']),
	/** Chosen by the claiming gate; distinguishes its own write from another gate's. */
	nonce: z.string(),
	/** `processId@incarnation` of the gate that holds the claim. */
	holder: z.string(),
	/** SHA-256 of method, path and body. */
	fingerprint: z.string(),
	/** Unix time of the last write of the row. */
	writtenAtMs: z.number(),
	outcome: recordedOutcomeSchema.optional(),
});

export type ClaimRow = z.infer<typeof claimRowSchema>;

/** Prefix of the rows of all claims. */
export const claimsPrefix = 'claims/';

/** Returns the key of a claim's row. */
export const claimRowKey = (team: string, idempotencyKey: string): string =>
	`${claimsPrefix}${team}/${createHash('sha256').update(idempotencyKey).digest('hex')}`;

const omitUndefined = (fields: Readonly<Record<string, JsonValue | undefined>>): JsonObject =>
	Object.fromEntries(Object.entries(fields).filter((entry): entry is [string, JsonValue] => entry[1] !== undefined));

/** Converts the row to JSON. Fields that are `undefined` are omitted. */
export const claimRowValue = (row: ClaimRow): JsonObject => omitUndefined({
	...row,
	outcome: row.outcome === undefined ? undefined : omitUndefined(row.outcome),
});

/** Determines whether the holder of a claim is gone permanently, so that it can never write the claim's conclusion. */
export interface HolderDirectory {
	isGone(holder: string): Promise<boolean>;
}
