/**
Allotments: each gate holds an allotment of each team's upper limit, and the allotments of all gates together never exceed it.
*/

/** What a gate reports about one team. */
export type TeamDemand = {
	readonly team: string;
	/** Requests that count against the limit: dispatched and not known to have ended. */
	readonly running: number;
	/** Requests that could start if the allotment were larger. */
	readonly waiting: number;
};

/** Receives the number of a team's requests that this gate may run at once from now on. If more are running, none may start until enough have ended. */
export type AllotmentListener = (team: string, amount: number) => void;

/** The allotments of one gate. */
export interface Allotments {
	/** Starts to take and return capacity. */
	start(): void;
	/** Reports a team's demand; call it whenever either number changes. */
	reportDemand(demand: TeamDemand): void;
	/** The number of the team's requests that this gate may run at once at this moment; 0 if this process was stalled and does not yet know whether it was replaced. */
	amountOf(team: string): number;
	onChange(listener: AllotmentListener): void;
	/** Calls back before each decision, so that the gate can report what it started since its last report. */
	beforeDecision(listener: () => void): void;
	/** Returns all capacity that is not in use, and the rest as running requests end. Resolves when nothing is held any more, or at the timeout. */
	releaseAll(timeoutMs: number): Promise<void>;
	close(): void;
}
