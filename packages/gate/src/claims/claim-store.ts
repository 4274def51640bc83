/**
Claims idempotency keys in the table service and settles them.

A request may be dispatched only after its claim's row was written. A write whose answer was lost is settled by reading the row back and comparing its nonce; where the row is still absent, the same write is sent again under the same condition, so that a late first write and the second one cannot both be applied. A claim that cannot be settled in time is refused and cleaned up in the background: its request was never dispatched.

While a claim is held here, the memory of this gate is the authority on it: repeats at this gate are answered without the table service.
*/
import {randomUUID} from 'node:crypto';
import {
	assertNever, type Clock, type Logger, type MetricsRegistry, parseWith,
} from '@poplarnotch/common';
import {absentVersion, type Row} from '@poplarnotch/platform';
import * as E from 'fp-ts/lib/Either.js';
import {type ClaimResolution, type RecordedOutcome} from '../types.js';
import {type CommitBatcher} from './commit-batcher.js';
import {type ClaimConclusion, HeldClaim} from './held-claim.js';
import {type RowReader} from './row-reader.js';
import {
	claimRowKey, type ClaimRow, claimRowSchema, claimRowValue, type HolderDirectory,
} from './types.js';

/** What the store works with. */
export type ClaimStoreParts = {
	readonly batcher: CommitBatcher;
	readonly reader: RowReader;
	readonly holders: HolderDirectory;
	readonly clock: Clock;
	readonly settleTimeoutMs: number;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
	/** `processId@incarnation` of this gate. */
	holder(): string;
};

/** A key to claim. */
export type ClaimRequest = {
	readonly requestId: string;
	readonly team: string;
	readonly idempotencyKey: string;
	readonly fingerprint: string;
};

/** What a row that another write left means for a claim. */
type RowReading
	= | {readonly type: 'won'; readonly version: number}
		| {readonly type: 'retry'; readonly expectedVersion: number}
		| {readonly type: 'settled'; readonly settlement: ClaimResolution};

const firstRetryDelayMs = 20;
const longestRetryDelayMs = 1000;

/** Bytes of a row besides the recorded body, about. */
const rowOverheadBytes = 400;

const unavailable: ClaimResolution = {type: 'unavailable'};

/** The claims of one gate. */
export class ClaimStore {
	readonly #parts: ClaimStoreParts;
	readonly #heldByRow = new Map<string, HeldClaim>();
	readonly #heldByRequest = new Map<string, HeldClaim>();
	readonly #writing = new Set<Promise<void>>();

	constructor(parts: ClaimStoreParts) {
		this.#parts = parts;
	}

	/** Claims that are held or whose end is not written yet. */
	get heldCount(): number {
		return this.#heldByRow.size;
	}

	/** Claims the key for the request. Never rejects. */
	async claim(request: ClaimRequest): Promise<ClaimResolution> {
		const rowKey = claimRowKey(request.team, request.idempotencyKey);
		const other = this.#heldByRow.get(rowKey);
		if (other !== undefined) {
			return this.#settleByHeld(other, request.fingerprint);
		}

		const claim = new HeldClaim(request.requestId, rowKey, request.fingerprint, randomUUID());
		this.#heldByRow.set(rowKey, claim);
		this.#heldByRequest.set(request.requestId, claim);
		const settlement = await this.#write(claim);
		if (settlement.type === 'claimed' && claim.conclusion !== undefined && claim.version !== undefined) {
			void this.#startConclusion(claim, claim.conclusion, claim.version);
		}

		return settlement;
	}

	/** Whether the request holds a claim whose outcome is to be recorded. */
	isHeldBy(requestId: string): boolean {
		return this.#heldByRequest.has(requestId);
	}

	/** The request's whole answer came. Resolves when its outcome is written; never rejects. */
	async record(requestId: string, outcome: RecordedOutcome): Promise<void> {
		await this.#conclude(requestId, {type: 'recorded', outcome});
	}

	/** The request may have run; its outcome cannot be learned. */
	recordUnknown(requestId: string): void {
		void this.#conclude(requestId, {type: 'unknown'});
	}

	/** The request did not run; its key may be claimed again. */
	release(requestId: string): void {
		void this.#conclude(requestId, {type: 'released'});
	}

	/** Resolves when every end of a claim that was to be written is written. */
	async flush(): Promise<void> {
		while (this.#writing.size > 0) {
			await Promise.all(this.#writing);
		}
	}

	#settleByHeld(other: HeldClaim, fingerprint: string): ClaimResolution {
		if (other.fingerprint !== fingerprint) {
			return {type: 'mismatch'};
		}

		const {conclusion} = other;
		if (conclusion === undefined || conclusion.type === 'released') {
			return {type: 'running'};
		}

		return conclusion.type === 'recorded' ? {type: 'recorded', outcome: conclusion.outcome} : {type: 'unknown'};
	}

	/** Writes the claim's row until its state is certain or time is up. */
	async #write(claim: HeldClaim): Promise<ClaimResolution> {
		const {batcher, clock, settleTimeoutMs} = this.#parts;
		const deadlineMs = clock.nowMs() + settleTimeoutMs;
		let expectedVersion = absentVersion;
		let mayBeWritten = false;
		for (let attempt = 0; ; attempt++) {
			const result = await batcher.submit({
				key: claim.rowKey,
				expectedVersion,
				value: claimRowValue(this.#rowOf(claim, 'running')),
				sizeBytes: rowOverheadBytes,
				failsFast: true,
			});
			if (result.type === 'applied') {
				claim.win(result.version);
				return {type: 'claimed'};
			}

			mayBeWritten ||= result.type === 'unknown';
			if (result.type === 'unavailable' && !mayBeWritten) {
				this.#forget(claim);
				return unavailable;
			}

			const reading = result.type === 'unavailable' ? undefined : await this.#readBack(claim, expectedVersion);
			if (reading?.type === 'won') {
				claim.win(reading.version);
				return {type: 'claimed'};
			}

			if (reading?.type === 'settled') {
				this.#forget(claim);
				return reading.settlement;
			}

			if (clock.nowMs() >= deadlineMs) {
				this.#abandon(claim, expectedVersion, mayBeWritten);
				return unavailable;
			}

			expectedVersion = reading?.expectedVersion ?? expectedVersion;
			await this.#pause(attempt);
		}
	}

	/** Reads the claim's row; `undefined` where it cannot be read. */
	async #readBack(claim: HeldClaim, expectedVersion: number): Promise<RowReading | undefined> {
		try {
			const row = await this.#parts.reader.read(claim.rowKey);
			return row === undefined
				? {type: 'retry', expectedVersion: absentVersion}
				: await this.#interpret(claim, row, expectedVersion);
		} catch {
			this.#parts.metrics.increment('claim_read_failures_total');
			return undefined;
		}
	}

	async #interpret(claim: HeldClaim, row: Row, expectedVersion: number): Promise<RowReading> {
		const parsed = parseWith(claimRowSchema, row.value, row.key);
		if (E.isLeft(parsed)) {
			this.#parts.log.error({event: 'claim_row_invalid', key: row.key});
			return {type: 'settled', settlement: {type: 'unknown'}};
		}

		const found = parsed.right;
		if (found.nonce === claim.nonce) {
			return {type: 'won', version: row.version};
		}

		if (found.state === 'released') {
			return {type: 'retry', expectedVersion: row.version};
		}

		if (found.state === 'running' && found.holder === this.#parts.holder()) {
			// This gate holds no other claim on the row, so it gave that one up before dispatch.
			return {type: 'retry', expectedVersion: row.version};
		}

		if (row.version === expectedVersion) {
			return {type: 'retry', expectedVersion};
		}

		return {type: 'settled', settlement: await this.#settleByRow(found, claim.fingerprint)};
	}

	async #settleByRow(found: ClaimRow, fingerprint: string): Promise<ClaimResolution> {
		if (found.fingerprint !== fingerprint) {
			return {type: 'mismatch'};
		}

		if (found.state === 'recorded' && found.outcome !== undefined) {
			const {status, headers, bodyBase64} = found.outcome;
			return {type: 'recorded', outcome: {status, headers, bodyBase64}};
		}

		if (found.state === 'running' && !(await this.#isHolderGone(found.holder))) {
			return {type: 'running'};
		}

		return {type: 'unknown'};
	}

	async #isHolderGone(holder: string): Promise<boolean> {
		try {
			return await this.#parts.holders.isGone(holder);
		} catch {
			return false;
		}
	}

	/** Resolves when the end is written. A claim that is not settled yet is ended once it is. */
	async #conclude(requestId: string, conclusion: ClaimConclusion): Promise<void> {
		const claim = this.#heldByRequest.get(requestId);
		if (claim?.conclude(conclusion) && claim.version !== undefined) {
			await this.#startConclusion(claim, conclusion, claim.version);
		}
	}

	async #startConclusion(claim: HeldClaim, conclusion: ClaimConclusion, version: number): Promise<void> {
		const writing = this.#writeConclusion(claim, conclusion, version).finally(() => {
			this.#writing.delete(writing);
		});
		this.#writing.add(writing);
		return writing;
	}

	async #writeConclusion(claim: HeldClaim, conclusion: ClaimConclusion, wonVersion: number): Promise<void> {
		const row = this.#concludedRow(claim, conclusion);
		const value = claimRowValue(row);
		const sizeBytes = rowOverheadBytes + (row.outcome?.bodyBase64?.length ?? 0);
		let expectedVersion: number | undefined = wonVersion;
		for (let attempt = 0; expectedVersion !== undefined; attempt++) {
			const result = await this.#parts.batcher.submit({
				key: claim.rowKey, expectedVersion, value, sizeBytes, failsFast: false,
			});
			if (result.type === 'applied') {
				break;
			}

			if (result.type === 'conflict') {
				expectedVersion = await this.#versionLeft(claim, expectedVersion);
			}

			await this.#pause(attempt);
		}

		this.#forget(claim);
	}

	/** The version under which the claim's end is still to be written; `undefined` where the row is no longer this claim as it was won. */
	async #versionLeft(claim: HeldClaim, expectedVersion: number): Promise<number | undefined> {
		try {
			const row = await this.#parts.reader.read(claim.rowKey);
			const parsed = parseWith(claimRowSchema, row?.value, claim.rowKey);
			const isOurs = E.isRight(parsed) && parsed.right.nonce === claim.nonce && parsed.right.state === 'running';
			return isOurs ? row?.version : undefined;
		} catch {
			return expectedVersion;
		}
	}

	/** Gives up a claim before dispatch. Where its row may have been written, or may still be, it is marked as released. */
	#abandon(claim: HeldClaim, expectedVersion: number, mayBeWritten: boolean): void {
		this.#parts.metrics.increment('claims_abandoned_total');
		if (mayBeWritten) {
			claim.conclude({type: 'released'});
			void this.#startConclusion(claim, {type: 'released'}, expectedVersion);
		} else {
			this.#forget(claim);
		}
	}

	#concludedRow(claim: HeldClaim, conclusion: ClaimConclusion): ClaimRow {
		switch (conclusion.type) {
			case 'recorded': {
				return {...this.#rowOf(claim, 'recorded'), outcome: {...conclusion.outcome, headers: {...conclusion.outcome.headers}}};
			}

			case 'unknown': {
				return this.#rowOf(claim, 'unknown');
			}

			case 'released': {
				return this.#rowOf(claim, 'released');
			}

			default: {
				return assertNever(conclusion);
			}
		}
	}

	#rowOf(claim: HeldClaim, state: ClaimRow['state']): ClaimRow {
		return {
			state,
			nonce: claim.nonce,
			holder: this.#parts.holder(),
			fingerprint: claim.fingerprint,
			writtenAtMs: this.#parts.clock.wallTimeMs(),
		};
	}

	#forget(claim: HeldClaim): void {
		this.#heldByRow.delete(claim.rowKey);
		this.#heldByRequest.delete(claim.requestId);
	}

	async #pause(attempt: number): Promise<void> {
		const delayMs = Math.min(firstRetryDelayMs * (2 ** attempt), longestRetryDelayMs);
		return new Promise(resolve => {
			this.#parts.clock.schedule(delayMs, resolve);
		});
	}
}
