/**
This gate's part of the resources that all gates share: slots of backend servers, allotments of the teams' upper limits, and connections. Each change of slots or allotments is passed to the gate's reducer at once.
*/
import {
	type Clock, type FleetSettings, type JsonObject, type Logger, type MetricsRegistry, type RandomSource,
} from '@poplarnotch/common';
import {type TableService} from '@poplarnotch/platform';
import {AllotmentManager} from '@poplarnotch/state';
import {poolDemands, runningOnHost} from '../state.js';
import {type GateShell} from './gate-shell.js';
import {connectionLimitsOf} from './connection-limits.js';
import {type Membership} from './membership.js';
import {type ServerPools} from './server-pools.js';
import {type GateLoad, SlotRebalancer} from './slot-rebalancer.js';
import {type CallPeer} from './slot-peers.js';
import {TeamAllotments} from './team-allotments.js';

const allotmentReleaseTimeoutMs = 5000;
const slotTransferTimeoutMs = 2000;

export type SharedGrantsParts = {
	readonly table: TableService;
	/** The membership of this gate, which is already registered. */
	readonly membership: Membership;
	readonly callPeer: CallPeer;
	readonly shell: GateShell;
	readonly pools: ServerPools;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: MetricsRegistry;
	readonly log: Logger;
};

/** The slots, allotments and connection limits of a registered gate. */
export class SharedGrants {
	readonly #parts: SharedGrantsParts;
	readonly #allotments: TeamAllotments;
	readonly #slotRebalancer: SlotRebalancer;

	constructor(parts: SharedGrantsParts) {
		const {
			table, membership, callPeer, clock, random, log, metrics,
		} = parts;
		this.#parts = parts;
		this.#allotments = new TeamAllotments(new AllotmentManager({
			table, members: membership.source, self: membership.self, clock, random, log, metrics,
		}), () => {
			this.applyGrants();
		});
		this.#allotments.beforeDecision(() => {
			this.reportDemands();
		});
		this.#slotRebalancer = new SlotRebalancer({
			self: {gate: membership.self.processId, incarnation: membership.self.incarnation},
			isRestart: membership.isRestart,
			members: membership.source,
			callPeer,
			clock,
			metrics,
			log,
			hasWaitingRequests: () => [...this.#parts.shell.state.pools.values()].some(pool => pool.queue.waiting > 0),
			load: () => this.#load(),
			onGrantsChanged: () => {
				this.applyGrants();
			},
		});
		membership.onChange(() => {
			this.#limitConnections();
		});
	}

	/** Whether the gate has slots, or need not wait for them. */
	get isReady(): boolean {
		return this.#slotRebalancer.isReady;
	}

	start(): void {
		this.#allotments.start();
		this.#slotRebalancer.start();
	}

	/** Applies new settings. The slot rebalancing receives them before the gate's reducer, so that removed slots are no longer used when the reducer starts requests. */
	applySettings(settings: FleetSettings): void {
		this.#slotRebalancer.applySettings(settings);
		this.#parts.shell.changeSettings(settings);
		this.#allotments.applySettings(settings);
		this.#limitConnections();
		this.applyGrants();
	}

	/** Passes the current grants to the gate's reducer. */
	applyGrants(): void {
		const {shell} = this.#parts;
		shell.changeGrants({...this.#slotRebalancer.grants, allotmentByTeam: this.#allotments.amounts(shell.settings)});
	}

	reportDemands(): void {
		this.#allotments.reportDemands(this.#parts.shell.state);
	}

	/** Handles a call of `slots.deliver`. */
	receiveSlots(parameters: unknown): JsonObject {
		return this.#slotRebalancer.receive(parameters);
	}

	startDrain(): void {
		this.#slotRebalancer.startDrain();
	}

	/** Releases all allotments and waits for the transfer of all slots; resolves when none is held any more, or at the time limits. */
	async releaseAll(): Promise<void> {
		await Promise.all([
			this.#allotments.releaseAll(allotmentReleaseTimeoutMs),
			this.#slotRebalancer.waitUntilTransferred(slotTransferTimeoutMs),
		]);
	}

	dump(): JsonObject {
		return this.#slotRebalancer.dump();
	}

	close(): void {
		this.#allotments.close();
		this.#slotRebalancer.close();
	}

	#load(): GateLoad {
		const {state, settings} = this.#parts.shell;
		const runningByHost = new Map<string, number>();
		for (const host of settings.hosts.keys()) {
			const running = runningOnHost(state, host);
			if (running > 0) {
				runningByHost.set(host, running);
			}
		}

		return {demands: poolDemands(state), allotmentByTeam: state.grants.allotmentByTeam, runningByHost};
	}

	#limitConnections(): void {
		const {pools, shell, membership} = this.#parts;
		pools.limit(connectionLimitsOf(shell.settings, membership.gates.length));
	}
}
