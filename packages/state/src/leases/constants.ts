/**
Times of leases.
*/

/** A lease that a contender has not seen renewed for this long may be taken over. */
export const defaultLeaseMs = 10_000;

/** Number of renewals per lease time. */
export const renewalsPerLease = 3;

/** How long before the end of the lease its holder stops trusting it, as a share of the lease time. */
export const safetyMarginShare = 0.2;

/** Pause after a failed call. */
export const leaseRetryMs = 500;
