/**
Time limits and retry limits of the fleet's reducer.
*/

/** Maximum age of the platform's host list at which planned work may start. */
export const maxListingAgeMs = 30_000;

/** Time after which a call without a response is repeated. */
export const callTimeoutMs = 30_000;

/** Time between two probes of a host that is not confirmed to serve. */
export const probeIntervalMs = 1000;

/** Time between two queries to the gates while hosts drain. */
export const gateQueryIntervalMs = 250;

/** Number of drains of one host that may time out before a wave skips the host. */
export const maxDrainAttempts = 5;

/** Time after a host's return within which another loss counts as a failure of its wave. */
export const repeatedLossWindowMs = 120_000;

/** Time after which a drained host is drained again if its next change met a conflict. */
export const redrainAfterMs = 5000;
