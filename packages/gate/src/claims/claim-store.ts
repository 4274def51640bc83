/**
Claims idempotency keys in the table service and records how their requests ended.

A request may be dispatched only after its claim's row was written. When the response to a write is lost, the store resolves the write by reading the row back and comparing its nonce; where the row is still absent, the same write is sent again under the same condition, so that a late first write and the second one cannot both be applied. A claim that cannot be resolved within `settleTimeoutMs` is refused and its row is marked as released in the background: its request was never dispatched.

While this gate holds a claim, its copy in memory is authoritative: repeated requests at this gate are answered without reading the table service.
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

/** Dependencies of a `ClaimStore`. */
export type ClaimStoreParts = {
	readonly batcher: CommitBatcher;
	readonly reader: RowReader;
	readonly holders: HolderDirectory;
	readonly clock: Clock;
	/** Time after which a claim whose write is still unresolved is refused. */
	readonly settleTimeoutMs: number;
	readonly log: Logger;
	readonly metrics: MetricsRegistry;
	/** `processId@incarnation` of this gate. */
	holder(): string;
};

/** An idempotency key to claim, and the request that claims it. */
export type ClaimRequest = {
	readonly requestId: string;
	readonly team: string;
	readonly idempotencyKey: string;
	readonly fingerprint: string;
};

/** What the row found by reading back means for a claim whose write was not reported as applied. */
type RowInterpretation
	= | {readonly type: 'confirmed'; readonly version: number}
		| {readonly type: 'retry'; readonly expectedVersion: number}
		| {readonly type: 'resolved'; readonly resolution: ClaimResolution};

const firstRetryDelayMs = 20;
const maxRetryDelayMs = 1000;

/** Approximate size of a row without the recorded body. */
const rowOverheadBytes = 400;

const unavailable: ClaimResolution = {type: 'unavailable'};

/** The claims of one gate. */
export class ClaimStore {
	readonly #parts: ClaimStoreParts;
	readonly #heldByRow = new Map<string, HeldClaim>();
	readonly #heldByRequest = new Map<string, HeldClaim>();
	readonly #pendingConclusions = new Set<Promise<void>>();

	constructor(parts: ClaimStoreParts) {
		this.#parts = parts;
	}

	/** Number of claims that are being written, are held, or have a conclusion that is not written yet. */
	get heldCount(): number {
		return this.#heldByRow.size;
	}

	/** Claims the idempotency key for the request. Never rejects. */
	async claim(request: ClaimRequest): Promise<ClaimResolution> {
		const rowKey = claimRowKey(request.team, request.idempotencyKey);
		const heldClaim = this.#heldByRow.get(rowKey);
		if (heldClaim !== undefined) {
			return this.#resolveFromHeldClaim(heldClaim, request.fingerprint);
		}

		const claim = new HeldClaim(request.requestId, rowKey, request.fingerprint, randomUUID());
		this.#heldByRow.set(rowKey, claim);
		this.#heldByRequest.set(request.requestId, claim);
		const resolution = await this.#writeClaimRow(claim);
		if (resolution.type === 'claimed' && claim.conclusion !== undefined && claim.version !== undefined) {
			void this.#startConclusion(claim, claim.conclusion, claim.version);
		}

		return resolution;
	}

	/** Whether the request has a claim whose conclusion has not been written yet. */
	isHeldBy(requestId: string): boolean {
		return this.#heldByRequest.has(requestId);
	}

	/** Records the outcome of a request that was answered completely. Resolves when the outcome is written; never rejects. */
	async record(requestId: string, outcome: RecordedOutcome): Promise<void> {
		await this.#conclude(requestId, {type: 'recorded', outcome});
	}

	/** Records that the request may have run and that its outcome cannot be determined. */
	recordUnknown(requestId: string): void {
		void this.#conclude(requestId, {type: 'unknown'});
	}

	/** Releases the claim of a request that did not run, so that its key may be claimed again. */
	release(requestId: string): void {
		void this.#conclude(requestId, {type: 'released'});
	}

	/** Resolves when all pending conclusions are written. */
	async flush(): Promise<void> {
		while (this.#pendingConclusions.size > 0) {
			await Promise.all(this.#pendingConclusions);
		}
	}

	#resolveFromHeldClaim(heldClaim: HeldClaim, fingerprint: string): ClaimResolution {
		if (heldClaim.fingerprint !== fingerprint) {
			return {type: 'mismatch'};
		}

		const {conclusion} = heldClaim;
		if (conclusion === undefined || conclusion.type === 'released') {
			return {type: 'running'};
		}

		return conclusion.type === 'recorded' ? {type: 'recorded', outcome: conclusion.outcome} : {type: 'unknown'};
	}

	/** Writes the claim's row, with retries, until its state is certain or `settleTimeoutMs` has passed. */
	async #writeClaimRow(claim: HeldClaim): Promise<ClaimResolution> {
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
				claim.confirm(result.version);
				return {type: 'claimed'};
			}

			mayBeWritten ||= result.type === 'unknown';
			if (result.type === 'unavailable' && !mayBeWritten) {
				this.#forget(claim);
				return unavailable;
			}

			const interpretation = result.type === 'unavailable' ? undefined : await this.#readBack(claim, expectedVersion);
			if (interpretation?.type === 'confirmed') {
				claim.confirm(interpretation.version);
				return {type: 'claimed'};
			}

			if (interpretation?.type === 'resolved') {
				this.#forget(claim);
				return interpretation.resolution;
			}

			if (clock.nowMs() >= deadlineMs) {
				this.#abandon(claim, expectedVersion, mayBeWritten);
				return unavailable;
			}

			expectedVersion = interpretation?.expectedVersion ?? expectedVersion;
			await this.#waitBeforeRetry(attempt);
		}
	}

	/** Reads the claim's row back and interprets it. Returns `undefined` if the row cannot be read. */
	async #readBack(claim: HeldClaim, expectedVersion: number): Promise<RowInterpretation | undefined> {
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

	async #interpret(claim: HeldClaim, row: Row, expectedVersion: number): Promise<RowInterpretation> {
		const parsed = parseWith(claimRowSchema, row.value, row.key);
		if (E.isLeft(parsed)) {
			this.#parts.log.error({event: 'claim_row_invalid', key: row.key});
			return {type: 'resolved', resolution: {type: 'unknown'}};
		}

		const found = parsed.right;
		if (found.nonce === claim.nonce) {
			return {type: 'confirmed', version: row.version};
		}

		if (found.state === 'released') {
			return {type: 'retry', expectedVersion: row.version};
		}

		if (found.state === 'running' && found.holder === this.#parts.holder()) {
			// This gate holds no other claim on the row, so it abandoned the claim found there before dispatch.
			return {type: 'retry', expectedVersion: row.version};
		}

		if (row.version === expectedVersion) {
			return {type: 'retry', expectedVersion};
		}

		return {type: 'resolved', resolution: await this.#resolveFromRow(found, claim.fingerprint)};
	}

	async #resolveFromRow(found: ClaimRow, fingerprint: string): Promise<ClaimResolution> {
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

	/** Resolves when the conclusion is written. The conclusion of a claim that is not confirmed yet is written by `claim` after confirmation. */
	async #conclude(requestId: string, conclusion: ClaimConclusion): Promise<void> {
		const claim = this.#heldByRequest.get(requestId);
		if (claim?.conclude(conclusion) && claim.version !== undefined) {
			await this.#startConclusion(claim, conclusion, claim.version);
		}
	}

	async #startConclusion(claim: HeldClaim, conclusion: ClaimConclusion, version: number): Promise<void> {
		const writing = this.#writeConclusion(claim, conclusion, version).finally(() => {
			this.#pendingConclusions.delete(writing);
		});
		this.#pendingConclusions.add(writing);
		return writing;
	}

	async #writeConclusion(claim: HeldClaim, conclusion: ClaimConclusion, initialVersion: number): Promise<void> {
		const row = this.#concludedRow(claim, conclusion);
		const value = claimRowValue(row);
		const sizeBytes = rowOverheadBytes + (row.outcome?.bodyBase64?.length ?? 0);
		let expectedVersion: number | undefined = initialVersion;
		for (let attempt = 0; expectedVersion !== undefined; attempt++) {
			const result = await this.#parts.batcher.submit({
				key: claim.rowKey, expectedVersion, value, sizeBytes, failsFast: false,
			});
			if (result.type === 'applied') {
				break;
			}

			if (result.type === 'conflict') {
				expectedVersion = await this.#findVersionToConclude(claim, expectedVersion);
			}

			await this.#waitBeforeRetry(attempt);
		}

		this.#forget(claim);
	}

	/** Returns the row version to expect when the conclusion is written again, or `undefined` if the row is no longer this claim in state `running`. */
	async #findVersionToConclude(claim: HeldClaim, expectedVersion: number): Promise<number | undefined> {
		try {
			const row = await this.#parts.reader.read(claim.rowKey);
			const parsed = parseWith(claimRowSchema, row?.value, claim.rowKey);
			const isOwnRunningClaim = E.isRight(parsed) && parsed.right.nonce === claim.nonce && parsed.right.state === 'running';
			return isOwnRunningClaim ? row?.version : undefined;
		} catch {
			return expectedVersion;
		}
	}

	/** Abandons a claim before dispatch. If its row may have been written, or may still be, the row is marked as released. */
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

	async #waitBeforeRetry(attempt: number): Promise<void> {
		const delayMs = Math.min(firstRetryDelayMs * (2 ** attempt), maxRetryDelayMs);
		return new Promise(resolve => {
			this.#parts.clock.schedule(delayMs, resolve);
		});
	}
}
