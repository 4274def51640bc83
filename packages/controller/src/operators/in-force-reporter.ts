/**
Collects the settings revision of every process, for the in-force report and the overview.
*/
import {type Clock, PoplarnotchError} from '@poplarnotch/common';
import {
	isHeldByMajority, isInForce, type Member, type PeerDirectory, revisionStatuses, type ProcessRevisionStatus, type RpcSettingsPeers, type SettingsReplica, type SettingsStateResponse,
} from '@poplarnotch/state';

/** Dependencies of an `InForceReporter`. */
export type InForceReporterOptions = {
	readonly processId: string;
	readonly directory: PeerDirectory;
	/** Reads the members again. */
	readonly refreshMembers: () => Promise<void>;
	readonly peers: RpcSettingsPeers;
	readonly replica: SettingsReplica;
	readonly clock: Clock;
};

/** Whether a revision is in force, with the state of each process. */
export type InForceReport = {
	readonly revision: number;
	readonly isInForce: boolean;
	readonly processes: readonly ProcessRevisionStatus[];
};

/** Number of revisions for which the time of the first majority is kept. */
const maxTrackedRevisions = 100;

/** Reports whether a settings revision is in force. */
export class InForceReporter {
	readonly #options: InForceReporterOptions;
	readonly #majoritySinceMs = new Map<number, number>();

	constructor(options: InForceReporterOptions) {
		this.#options = options;
	}

	/** The registered members; empty if they are not known yet. */
	get members(): readonly Member[] {
		return this.#options.directory.members() ?? [];
	}

	/** Requests the settings state of all members; members that do not respond in time are left out. */
	async settingsStates(): Promise<ReadonlyMap<string, SettingsStateResponse>> {
		const states = await Promise.all(this.members.map(async member => this.#settingsStateOf(member)));
		return new Map(states.filter(state => state !== undefined).map(state => [state.processId, state]));
	}

	/**
	Reports whether a revision is in force on all members. A process that has just registered may still serve an older revision, so the members are read again first. A process that registers after that read confirms its settings later still, and therefore has the revision.
	*/
	async inForce(revision: number): Promise<InForceReport> {
		await this.#options.refreshMembers();
		const {members} = this;
		const processes = revisionStatuses(members, await this.settingsStates(), revision);
		const heldForMs = this.#heldByMajorityForMs(revision, processes);
		return {revision, isInForce: isInForce(processes, heldForMs), processes};
	}

	async #settingsStateOf(member: Member): Promise<SettingsStateResponse | undefined> {
		const {processId, replica, peers} = this.#options;
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

	#heldByMajorityForMs(revision: number, processes: readonly ProcessRevisionStatus[]): number | undefined {
		const nowMs = this.#options.clock.nowMs();
		if (!this.#majoritySinceMs.has(revision) && isHeldByMajority(processes)) {
			this.#trackMajority(revision, nowMs);
		}

		const sinceMs = this.#majoritySinceMs.get(revision);
		return sinceMs === undefined ? undefined : nowMs - sinceMs;
	}

	#trackMajority(revision: number, nowMs: number): void {
		this.#majoritySinceMs.set(revision, nowMs);
		const [oldest] = this.#majoritySinceMs.keys();
		if (this.#majoritySinceMs.size > maxTrackedRevisions && oldest !== undefined) {
			this.#majoritySinceMs.delete(oldest);
		}
	}
}
