/**
Times of leases.
*/

/** A lease that a contender has not seen renewed for this long may be taken over. */
export const defaultLeaseMs = 10_000;

/** Number of renewals per lease time. */
export const renewalsPerLease = 3;

/** How long before the end of the lease its holder stops trusting it, as a share of the lease time. */
export const safetyMarginShare = 0.2;

/** Pause of a contender after a failed call. */
export const leaseRetryMs = 500;

/** Pause of the holder after a failed renewal: it is the only process that renews, and after an outage its renewal decides whether it goes on. */
export const renewalRetryMs = 150;

/** A contender's wait starts again if the time between two answered reads exceeds their interval by more than this share of the lease time. */
export const readGapShare = 1 / 6;
