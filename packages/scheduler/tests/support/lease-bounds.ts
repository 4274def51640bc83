/**
Bounds after which a run counts as over that nobody has heard end, as tests expect them. They are stated here, not taken from the code.
*/

/** A lease on the incarnation that it was meant for. */
export const shortLeaseMs = (5000 * 1.03) + 250;

/** The longest lease that a worker grants. */
export const longestLeaseMs = (10_000 * 1.03) + 250;

/** A start, or a poll that is sent twice, can arrive so long after its deadline was drawn up. */
export const maxArrivalMs = 3000;
