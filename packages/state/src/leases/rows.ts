/**
Rows of leases. `leases/{name}` names the holder and is written only when the holder changes: its version is the fence and serves as the number of the lease term. Until a holder that was replaced on suspicion no longer trusts its lease, the row says how long that takes, also after a release. `lease-renewals/{name}` is written by each renewal. A holder that releases the lease may leave a note for the next one in its place, which is gone once anybody acquires the lease.
*/
import * as E from 'fp-ts/lib/Either.js';
import {type JsonValue, parseWith, z} from '@poplarnotch/common';
import {
	absentVersion, type Row, type RowCondition, type Transaction,
} from '@poplarnotch/platform';

const holderSchema = z.object({holder: z.string().optional(), overlapMs: z.number().optional()});
const renewalSchema = z.object({renewals: z.number().optional(), handover: z.json().optional()});

/** Key of the fence row. */
export const fenceKey = (name: string): string => `leases/${name}`;

/** Key of the renewal row. */
export const renewalKey = (name: string): string => `lease-renewals/${name}`;

/** A lease as read from both of its rows. The version of an absent row is 0. */
export type LeaseRows = {
	readonly fenceVersion: number;
	readonly holder: string | undefined;
	readonly renewalVersion: number;
	/** For how long after the fence row was written a holder that was replaced on suspicion may still trust its lease. */
	readonly overlapMs?: number | undefined;
	/** What the last holder left to the next one as it released the lease. */
	readonly handover?: JsonValue | undefined;
	/** Number of renewals since the fence row was written. */
	readonly renewals?: number | undefined;
};

/** Reads both rows of a lease. */
export const leaseRowsFrom = (name: string, rows: readonly Row[]): LeaseRows => {
	const fence = rows.find(row => row.key === fenceKey(name));
	const renewal = rows.find(row => row.key === renewalKey(name));
	const parsed = parseWith(holderSchema, fence?.value, fenceKey(name));
	const parsedRenewal = parseWith(renewalSchema, renewal?.value, renewalKey(name));
	return {
		fenceVersion: fence?.version ?? absentVersion,
		holder: E.isRight(parsed) ? parsed.right.holder : undefined,
		renewalVersion: renewal?.version ?? absentVersion,
		overlapMs: E.isRight(parsed) ? parsed.right.overlapMs : undefined,
		handover: E.isRight(parsedRenewal) ? parsedRenewal.right.handover : undefined,
		renewals: E.isRight(parsedRenewal) ? parsedRenewal.right.renewals : undefined,
	};
};

const put = (key: string, value: JsonValue) => ({type: 'put', key, value} as const);

/** Acquires the lease if neither row has changed since it was read. */
export const acquireTransaction = (name: string, holder: string, seen: LeaseRows, overlapMs = 0): Transaction => ({
	conditions: [{key: fenceKey(name), version: seen.fenceVersion}, {key: renewalKey(name), version: seen.renewalVersion}],
	writes: [put(fenceKey(name), overlapMs > 0 ? {holder, overlapMs} : {holder}), put(renewalKey(name), {renewals: 0})],
});

/** Renews the lease if it is still held. */
export const renewTransaction = (name: string, fence: RowCondition, renewals: number): Transaction => ({
	conditions: [fence],
	writes: [put(renewalKey(name), {renewals})],
});

/** Releases the lease if it is still held. */
export const releaseTransaction = (name: string, fence: RowCondition, {overlapMs = 0, handover}: {readonly overlapMs?: number; readonly handover?: JsonValue | undefined} = {}): Transaction => ({
	conditions: [fence],
	writes: [
		overlapMs > 0 ? put(fenceKey(name), {overlapMs}) : {type: 'delete', key: fenceKey(name)},
		handover === undefined ? {type: 'delete', key: renewalKey(name)} : put(renewalKey(name), {handover}),
	],
});
