/**
The problems with which a gate refuses requests, each with its stable type. `outcome` is `not-run` only if no byte of the request can have reached a backend server.
*/
import {type Problem, type RequestOutcome} from '@poplarnotch/common';

type Refusal = Omit<Problem, 'outcome'>;

const notRun = (refusal: Refusal): Problem => ({...refusal, outcome: 'not-run'});

export const queueUnknown = (queue: string): Problem => notRun({
	type: 'queue-unknown',
	title: 'Unknown queue',
	status: 404,
	detail: `There is no queue "${queue}".`,
});

export const keyRequired = (queue: string): Problem => notRun({
	type: 'key-required',
	title: 'Key required',
	status: 401,
	detail: `Queue "${queue}" takes work only with a team's key.`,
});

export const keyRefused = (): Problem => notRun({
	type: 'key-refused',
	title: 'Key refused',
	status: 401,
	detail: 'The key is unknown or was withdrawn.',
});

export const teamRefused = (queue: string, team: string): Problem => notRun({
	type: 'team-refused',
	title: 'Team refused',
	status: 403,
	detail: `Queue "${queue}" takes no work of team "${team}".`,
});

export const teamLimitZero = (team: string): Problem => notRun({
	type: 'team-limit-zero',
	title: 'Team may run nothing',
	status: 403,
	detail: `The upper limit of team "${team}" is 0.`,
});

export const settingsStale = (retryAfterMs: number): Problem => notRun({
	type: 'settings-stale',
	title: 'Settings out of date',
	status: 503,
	detail: 'This gate cannot confirm its settings at present.',
	retryAfterMs,
});

export const gateDraining = (retryAfterMs: number): Problem => notRun({
	type: 'gate-draining',
	title: 'Gate is stopping',
	status: 503,
	detail: 'This gate takes no new work.',
	retryAfterMs,
});

export const queueFull = (queue: string, retryAfterMs: number): Problem => notRun({
	type: 'queue-full',
	title: 'Queue full',
	status: 429,
	detail: `Queue "${queue}" holds as many requests as it may.`,
	retryAfterMs,
});

export const waitTooLong = (queue: string, retryAfterMs: number): Problem => notRun({
	type: 'wait-too-long',
	title: 'Not started in time',
	status: 503,
	detail: `No slot came free in queue "${queue}" within its longest wait.`,
	retryAfterMs,
});

export const claimUnavailable = (retryAfterMs: number): Problem => notRun({
	type: 'claims-unavailable',
	title: 'Idempotency keys unavailable',
	status: 503,
	detail: 'The idempotency key cannot be claimed at present.',
	retryAfterMs,
});

export const claimMismatch = (): Problem => notRun({
	type: 'idempotency-key-reused',
	title: 'Idempotency key reused',
	status: 422,
	detail: 'The idempotency key was used with another request.',
});

export const claimRunning = (retryAfterMs: number): Problem => ({
	type: 'request-running',
	title: 'Request is running',
	status: 409,
	detail: 'A request with this idempotency key is running.',
	outcome: 'unknown',
	retryAfterMs,
});

export const claimUnknown = (): Problem => ({
	type: 'outcome-unknown',
	title: 'Outcome unknown',
	status: 409,
	detail: 'A request with this idempotency key may have run; its outcome cannot be learned.',
	outcome: 'unknown',
});

export const noServer = (pool: string, outcome: RequestOutcome, retryAfterMs: number): Problem => ({
	type: 'backend-unreachable',
	title: 'Backend server unreachable',
	status: 503,
	detail: `No backend server of pool "${pool}" could be reached.`,
	outcome,
	retryAfterMs,
});

export const badGateway = (reason: string): Problem => ({
	type: 'answer-cut',
	title: 'No whole answer',
	status: 502,
	detail: `The backend server gave no whole answer: ${reason}.`,
	outcome: 'unknown',
});

export const timedOut = (outcome: RequestOutcome): Problem => ({
	type: 'timeout',
	title: 'Timeout',
	status: 504,
	detail: outcome === 'not-run'
		? 'The request\'s timeout ended before it was started.'
		: 'The request\'s timeout ended before its answer came.',
	outcome,
});
