/**
Constants of the gate's decisions. Settings of teams, queues and pools stand in the settings tree.
*/

/** Width of one bucket of the deadline wheel; a deadline is noticed at most this late. */
export const timerBucketMs = 20;

/** Longest wait that a refusal for overload proposes. */
export const maxRetryAfterMs = 5000;

/** Shortest wait that a refusal for overload proposes. */
export const minRetryAfterMs = 100;

/** Run time assumed in a pool before the first request has ended there. */
export const initialRunMs = 50;

/** Weight of the newest run in the moving average of run times. */
export const runAverageWeight = 0.05;

/** Retries earned by each success. */
export const retryTokensPerSuccess = 0.1;

/** Most retries that a pool may have saved up. */
export const maxRetryTokens = 10;

/** Attempts that one request may take. */
export const maxAttempts = 3;

/** Consecutive failures after which a backend server may be ejected. */
export const ejectAfterFailures = 5;

/** Answers and failures within the moving average before its success rate counts. */
export const minOutcomesForRate = 20;

/** Weight of the newest outcome in a backend server's success rate. */
export const outcomeAverageWeight = 0.05;

/** A backend server whose success rate is this far below its pool's is ejected. */
export const ejectBelowPoolRate = 0.4;

/** Largest part of a pool's backend servers that may be ejected at one time. */
export const maxEjectedFraction = 0.34;

/** Length of the first ejection; each further one is twice as long. */
export const minEjectionMs = 5000;

/** Longest ejection. */
export const maxEjectionMs = 60_000;

/** Successes in a row that bring a probed backend server back. */
export const probeSuccesses = 3;

/** Retries passed over in one search for a request that a free backend server may take. */
export const maxSkippedRequests = 16;

/** Slot time, over all slots, by which a team may be ahead of its pool before it is served again in any case. */
export const maxVirtualLeadMs = 60_000;

/** Least weight of a team in a pool; every team is served in its turn. */
export const minTeamWeight = 0.01;

/** Runs by which a team may be behind its pool when its queue was empty. */
export const maxCreditRuns = 2;

/** Longest time for which the end of an answer is held back until its outcome is recorded. */
export const maxOutcomeDelayMs = 250;
