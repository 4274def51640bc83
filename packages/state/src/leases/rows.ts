/**
Rows of leases. `leases/{name}` names the holder and is written only when the holder changes: its version is the fence and serves as the number of the lease term. `lease-renewals/{name}` is written by each renewal.
*/
import * as E from 'fp-ts/lib/Either.js';
import {type JsonValue, parseWith, z} from '@poplarnotch/common';
import {
	absentVersion, type Row, type RowCondition, type Transaction,
} from '@poplarnotch/platform';

const holderSchema = z.object({holder: z.string()});

/** Key of the fence row. */
export const fenceKey = (name: string): string => `leases/${name}`;

/** Key of the renewal row. */
export const renewalKey = (name: string): string => `lease-renewals/${name}`;

/** A lease as read from both of its rows. The version of an absent row is 0. */
export type LeaseRows = {
	readonly fenceVersion: number;
	readonly holder: string | undefined;
	readonly renewalVersion: number;
};

/** Reads both rows of a lease. */
export const leaseRowsFrom = (name: string, rows: readonly Row[]): LeaseRows => {
	const fence = rows.find(row => row.key === fenceKey(name));
	const renewal = rows.find(row => row.key === renewalKey(name));
	const parsed = parseWith(holderSchema, fence?.value, fenceKey(name));
	return {
		fenceVersion: fence?.version ?? absentVersion,
		holder: E.isRight(parsed) ? parsed.right.holder : undefined,
		renewalVersion: renewal?.version ?? absentVersion,
	};
};

const put = (key: string, value: JsonValue) => ({type: 'put', key, value} as const);

/** Acquires the lease if neither row has changed since it was read. */
export const acquireTransaction = (name: string, holder: string, seen: LeaseRows): Transaction => ({
	conditions: [{key: fenceKey(name), version: seen.fenceVersion}, {key: renewalKey(name), version: seen.renewalVersion}],
	writes: [put(fenceKey(name), {holder}), put(renewalKey(name), {renewals: 0})],
});

/** Renews the lease if it is still held. */
export const renewTransaction = (name: string, fence: RowCondition, renewals: number): Transaction => ({
	conditions: [fence],
	writes: [put(renewalKey(name), {renewals})],
});

/** Releases the lease if it is still held. */
export const releaseTransaction = (name: string, fence: RowCondition): Transaction => ({
	conditions: [fence],
	writes: [{type: 'delete', key: fenceKey(name)}, {type: 'delete', key: renewalKey(name)}],
});
