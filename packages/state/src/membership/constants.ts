/**
Intervals and time limits of membership.
*/

/** Interval between heartbeats: 64 processes make 12.8 writes per second. */
export const heartbeatIntervalMs = 5000;

/** A member without a heartbeat for this long is suspected. */
export const suspectAfterMs = 3 * heartbeatIntervalMs;

/** Pause after a failed call of the registration. */
export const registrationRetryMs = 500;

/** Interval between reads of the members' changes. Nothing urgent depends on it: a new member is polled and counted a little later, and what a gone member held is reclaimed only after its work is certain to have ended. */
export const membersPollMs = 2000;

/** Interval between reads of the host list, which shows that members are gone. Most reads are served from a list that the process has read for other purposes. */
export const hostListPollMs = 2000;

/** Time after which the rows of a gone member are deleted. */
export const forgetGoneAfterMs = 3_600_000;
