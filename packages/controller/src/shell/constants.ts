/**
Intervals of the fleet runner.
*/

/** Interval between two ticks of the fleet's reducer. */
export const tickMs = 200;

/** Interval between two polls of the host list. */
export const hostPollIntervalMs = 1000;

/** Delay before a call that failed or whose outcome is unknown is repeated. */
export const retryDelayMs = 500;
