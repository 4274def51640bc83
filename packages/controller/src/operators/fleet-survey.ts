/**
Asks all processes for the settings revision that they hold, for the in-force report and the overview.
*/
import {type Clock, PoplarnotchError} from '@poplarnotch/common';
import {
	isHeldByMajority, isInForce, type Member, type PeerDirectory, processesInForce, type ProcessInForce, type RpcSettingsPeers, type SettingsReplica, type SettingsStateAnswer,
} from '@poplarnotch/state';

/** What the survey works with. */
export type FleetSurveyParts = {
	readonly processId: string;
	readonly directory: PeerDirectory;
	/** Reads the members anew. */
	readonly refreshMembers: () => Promise<void>;
	readonly peers: RpcSettingsPeers;
	readonly replica: SettingsReplica;
	readonly clock: Clock;
};

/** Whether a revision is in force and where it is not. */
export type InForceReport = {
	readonly revision: number;
	readonly isInForce: boolean;
	readonly processes: readonly ProcessInForce[];
};

/** Revisions for which the time of the first majority is remembered. */
const maxRemembered = 100;

/** Asks the fleet. */
export class FleetSurvey {
	readonly #parts: FleetSurveyParts;
	readonly #majoritySinceMs = new Map<number, number>();

	constructor(parts: FleetSurveyParts) {
		this.#parts = parts;
	}

	/** The registered members; this process alone where they are not known. */
	get members(): readonly Member[] {
		return this.#parts.directory.members() ?? [];
	}

	/** The answers of all members that answer in time. */
	async askAll(): Promise<ReadonlyMap<string, SettingsStateAnswer>> {
		const answers = await Promise.all(this.members.map(async member => this.#ask(member)));
		return new Map(answers.filter(answer => answer !== undefined).map(answer => [answer.processId, answer]));
	}

	/**
	Asks all members about a revision. A process that registered a moment ago may serve an older one, so the members are read anew first: one that registers later confirms its settings after that, and so holds the revision.
	*/
	async inForce(revision: number): Promise<InForceReport> {
		await this.#parts.refreshMembers();
		const {members} = this;
		const processes = processesInForce(members, await this.askAll(), revision);
		const heldForMs = this.#heldByMajorityForMs(revision, processes);
		return {revision, isInForce: isInForce(processes, heldForMs), processes};
	}

	async #ask(member: Member): Promise<SettingsStateAnswer | undefined> {
		const {processId, replica, peers} = this.#parts;
		if (member.processId === processId) {
			return replica.answer();
		}

		try {
			return await peers.state(member.processId);
		} catch (error) {
			if (error instanceof PoplarnotchError) {
				return undefined;
			}

			throw error;
		}
	}

	#heldByMajorityForMs(revision: number, processes: readonly ProcessInForce[]): number | undefined {
		const nowMs = this.#parts.clock.nowMs();
		if (!this.#majoritySinceMs.has(revision) && isHeldByMajority(processes)) {
			this.#remember(revision, nowMs);
		}

		const sinceMs = this.#majoritySinceMs.get(revision);
		return sinceMs === undefined ? undefined : nowMs - sinceMs;
	}

	#remember(revision: number, nowMs: number): void {
		this.#majoritySinceMs.set(revision, nowMs);
		const [oldest] = this.#majoritySinceMs.keys();
		if (this.#majoritySinceMs.size > maxRemembered && oldest !== undefined) {
			this.#majoritySinceMs.delete(oldest);
		}
	}
}
