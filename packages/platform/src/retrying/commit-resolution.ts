/**
Resolves whether one commit was applied although answers to its calls may be lost. It is a pure state machine: its input is how each call ended, its output is the next call to make.

Every attempt writes a nonce into the commit's nonce row, under the condition that the row still has the version it had before. A lost answer is resolved by reading that row: it contains the nonce if the attempt was applied. If it does not, the attempt may still be in flight; sending the same transaction again is safe, because at most one of the attempts with that condition can be applied. Before a conflict or a rejection is reported after a lost answer, a barrier is written into the nonce row, so that the attempt in flight can never be applied.
*/
import {assertNever} from '@poplarnotch/common';
import {type ConflictError, type PlatformError} from '../errors.js';

/** How a call ended. */
export type CommitOutcome
	= | {readonly type: 'applied'; readonly revision: number}
		| {readonly type: 'conflict'; readonly error: ConflictError; readonly isNonceRowChanged: boolean}
		| {readonly type: 'unavailable'; readonly error: PlatformError}
		| {readonly type: 'rejected'; readonly error: PlatformError}
		| {readonly type: 'unknown'; readonly error: PlatformError};

/** What reading the nonce row showed. */
export type NonceRowFinding
	= | {readonly type: 'ours'; readonly revision: number}
		| {readonly type: 'barrier'; readonly revision: number}
		| {readonly type: 'unchanged'}
		| {readonly type: 'foreign'}
		| {readonly type: 'unavailable'; readonly error: PlatformError};

/** The next call to make, or the final result. */
export type ResolutionStep
	= | {readonly type: 'send'}
		| {readonly type: 'readNonceRow'}
		| {readonly type: 'sendBarrier'}
		| {readonly type: 'useOtherNonceRow'}
		| {readonly type: 'done'; readonly result: ResolvedCommit};

/** The final result of a commit. */
export type ResolvedCommit
	= | {readonly type: 'applied'; readonly revision: number}
	/** The commit was not applied and never will be. `nonceRowRevision` is set if the barrier changed the nonce row. */
		| {readonly type: 'conflict'; readonly error: ConflictError; readonly nonceRowRevision: number | undefined}
		| {readonly type: 'unavailable'; readonly error: PlatformError}
	/** The platform does not take the transaction; no earlier attempt of it was applied or ever will be. `nonceRowRevision` as for a conflict. */
		| {readonly type: 'rejected'; readonly error: PlatformError; readonly nonceRowRevision: number | undefined}
	/** The time limit passed before the outcome was known, or another process changed the nonce row. */
		| {readonly type: 'unknown'; readonly error: PlatformError};

/** Why an attempt was certainly not applied, and none with the same condition on the nonce row is to be sent any more. */
type Refusal
	= | {readonly type: 'conflict'; readonly error: ConflictError}
		| {readonly type: 'rejected'; readonly error: PlatformError};

/** What is known of a commit in progress. */
export type CommitResolution = {
	/** Set after a lost answer: an attempt was applied, or may still be. */
	readonly lostAnswer: PlatformError | undefined;
	/** What to report if no attempt was applied. */
	readonly refusal: Refusal | undefined;
	readonly step: ResolutionStep;
	/** Whether the next call follows a failure, so that a back-off pause precedes it. */
	readonly isRetry: boolean;
};

/** State of a commit that has not been sent yet. */
export const newResolution: CommitResolution = {
	lostAnswer: undefined,
	refusal: undefined,
	step: {type: 'send'},
	isRetry: false,
};

const done = (resolution: CommitResolution, result: ResolvedCommit): CommitResolution => ({...resolution, step: {type: 'done', result}});

const next = (resolution: CommitResolution, type: 'send' | 'readNonceRow' | 'sendBarrier' | 'useOtherNonceRow', isRetry: boolean): CommitResolution =>
	({...resolution, step: {type}, isRetry});

/** Returns the state after the transaction was sent. */
export const afterSend = (resolution: CommitResolution, outcome: CommitOutcome): CommitResolution => {
	switch (outcome.type) {
		case 'applied': {
			return done(resolution, outcome);
		}

		case 'conflict': {
			if (resolution.lostAnswer !== undefined) {
				return next({...resolution, refusal: {type: 'conflict', error: outcome.error}}, 'readNonceRow', false);
			}

			return outcome.isNonceRowChanged
				? next(resolution, 'useOtherNonceRow', true)
				: done(resolution, {type: 'conflict', error: outcome.error, nonceRowRevision: undefined});
		}

		case 'unavailable': {
			return next(resolution, 'send', true);
		}

		case 'rejected': {
			// The platform may have refused for a cause that an earlier attempt does not share.
			return resolution.lostAnswer === undefined
				? done(resolution, {...outcome, nonceRowRevision: undefined})
				: next({...resolution, refusal: outcome}, 'readNonceRow', false);
		}

		case 'unknown': {
			return next({...resolution, lostAnswer: outcome.error}, 'readNonceRow', true);
		}

		default: {
			return assertNever(outcome);
		}
	}
};

/** Returns the state after the nonce row was read, which happens only after a lost answer. */
export const afterNonceRowRead = (resolution: CommitResolution, finding: NonceRowFinding): CommitResolution => {
	switch (finding.type) {
		case 'ours': {
			return done(resolution, {type: 'applied', revision: finding.revision});
		}

		case 'barrier': {
			return done(resolution, {...resolution.refusal!, nonceRowRevision: finding.revision});
		}

		case 'unchanged': {
			return next(resolution, resolution.refusal === undefined ? 'send' : 'sendBarrier', false);
		}

		case 'foreign': {
			return done(resolution, {type: 'unknown', error: resolution.lostAnswer!});
		}

		case 'unavailable': {
			return next(resolution, 'readNonceRow', true);
		}

		default: {
			return assertNever(finding);
		}
	}
};

/** Returns the state after the barrier was sent, which happens only after a lost answer and a refusal. */
export const afterBarrier = (resolution: CommitResolution, outcome: CommitOutcome): CommitResolution => {
	switch (outcome.type) {
		case 'applied': {
			return done(resolution, {...resolution.refusal!, nonceRowRevision: outcome.revision});
		}

		case 'conflict': {
			return next(resolution, 'readNonceRow', false);
		}

		case 'unavailable': {
			return next(resolution, 'sendBarrier', true);
		}

		case 'rejected': {
			return done(resolution, {type: 'unknown', error: resolution.lostAnswer!});
		}

		case 'unknown': {
			return next(resolution, 'readNonceRow', true);
		}

		default: {
			return assertNever(outcome);
		}
	}
};

/** Returns the result to report when the time limit passes before the next call. */
export const afterTimeLimit = (resolution: CommitResolution, lastError: PlatformError): ResolvedCommit =>
	resolution.lostAnswer === undefined
		? {type: 'unavailable', error: lastError}
		: {type: 'unknown', error: resolution.lostAnswer};
