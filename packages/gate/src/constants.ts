/**
Constants of the gate's decisions. Settings of teams, queues and pools are in the settings tree.
*/

/** Width of one bucket of the timer wheel; a timer expires at most this late. */
export const timerBucketMs = 20;

/** Maximum `retryAfterMs` of a refusal. */
export const maxRetryAfterMs = 5000;

/** Minimum `retryAfterMs` of a refusal. */
export const minRetryAfterMs = 100;

/** Run time assumed in a pool before the first request has ended there. */
export const initialRunMs = 50;

/** Weight of the latest run in the moving average of run times. */
export const runAverageWeight = 0.05;

/** Retries added to the budget by each success. */
export const retryTokensPerSuccess = 0.1;

/** Maximum number of retries in a pool's budget. */
export const maxRetryTokens = 10;

/** Maximum number of attempts of one request. */
export const maxAttempts = 3;

/** Consecutive failures after which a backend server may be ejected. */
export const ejectAfterFailures = 5;

/** Number of outcomes that a backend server needs before its success rate is considered. */
export const minOutcomesForRate = 20;

/** Weight of the latest outcome in the moving average of a backend server's success rate. */
export const outcomeAverageWeight = 0.05;

/** Difference by which a backend server's success rate must be below that of the other servers of its pool for it to be ejected. */
export const ejectBelowPoolRate = 0.4;

/** Maximum fraction of a pool's backend servers that may be ejected or probed at one time. */
export const maxEjectedFraction = 0.34;

/** Duration of the first ejection; each further one is twice as long. */
export const minEjectionMs = 5000;

/** Maximum duration of an ejection. */
export const maxEjectionMs = 60_000;

/** Consecutive successful probes after which a backend server is healthy again. */
export const probeSuccesses = 3;

/** Maximum number of waiting requests that one dispatch may skip because there is no server for them. */
export const maxSkippedRequests = 16;

/** Slot time, over all slots, by which a team may be ahead of its pool; beyond this it is served again in any case. */
export const maxVirtualLeadMs = 60_000;

/** Minimum weight of a team in a pool, so that every team is eventually served. */
export const minTeamWeight = 0.01;

/** Maximum credit, in mean run times, that a team keeps after its queue was empty. */
export const maxCreditRuns = 2;

/** Maximum time for which the end of an answer is delayed until its outcome is recorded. */
export const maxOutcomeDelayMs = 250;
