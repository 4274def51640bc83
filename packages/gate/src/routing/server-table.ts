/**
The backend servers as known to this gate: which accept work, how many slots this gate may fill and has filled, and their health. The table mutates private state that only the reducer owns.

A slot is counted by host until the request on it has certainly ended, also for hosts that are leaving or were removed.
*/
import {ejectBelowPoolRate, maxEjectedFraction} from '../constants.js';
import {type BackendServer} from '../types.js';
import {ServerHealth, type HealthState} from './server-health.js';
import {type Candidate} from './server-policy.js';

/** A change of a server's health, for the log. */
export type HealthChange = {
	readonly host: string;
	readonly pool: string;
	readonly state: HealthState;
	readonly consecutiveFailures: number;
	readonly successRate: number;
};

/** Status of a server for the dump. */
export type ServerStatus = {
	readonly host: string;
	readonly pool: string;
	readonly acceptsWork: boolean;
	readonly running: number;
	readonly granted: number;
	readonly health: HealthState;
	readonly successRate: number;
};

/** Requirements of a request on its backend server. */
export type ServerRequirements = {
	readonly pool: string;
	readonly triedHosts: readonly string[];
	/** True if the request may be repeated; only such requests are sent to servers under probe. */
	readonly mayProbe: boolean;
};

/** All backend servers known to this gate. */
export class ServerTable {
	#servers = new Map<string, BackendServer>();
	#serversByPool = new Map<string, BackendServer[]>();
	#slotsByHost: ReadonlyMap<string, number> = new Map();
	readonly #runningByHost = new Map<string, number>();
	readonly #healthByHost = new Map<string, ServerHealth>();
	/** A superset of the ejected hosts: contains all of them, and possibly some that are no longer ejected. It saves each tick from visiting the healthy hosts. */
	readonly #ejectedHosts = new Set<string>();

	/** Replaces the list of servers. The health record is dropped for hosts that were removed or moved to another pool. */
	setServers(servers: readonly BackendServer[]): void {
		const previous = this.#servers;
		this.#servers = new Map(servers.map(server => [server.host, server]));
		this.#serversByPool = new Map();
		for (const server of servers) {
			this.#serversByPool.set(server.pool, [...this.#serversIn(server.pool), server]);
		}

		for (const [host] of this.#healthByHost) {
			if (this.#servers.get(host)?.pool !== previous.get(host)?.pool) {
				this.#healthByHost.delete(host);
			}
		}
	}

	/** Replaces the slots that this gate may fill. */
	setSlots(slotsByHost: ReadonlyMap<string, number>): void {
		this.#slotsByHost = slotsByHost;
	}

	/** Number of requests that hold a slot on the host, including those in their cancel grace period. */
	running(host: string): number {
		return this.#runningByHost.get(host) ?? 0;
	}

	/** Acquires a slot on the host. */
	acquire(host: string): void {
		this.#runningByHost.set(host, this.running(host) + 1);
	}

	/** Releases a slot on the host. */
	release(host: string): void {
		const running = this.running(host) - 1;
		if (running > 0) {
			this.#runningByHost.set(host, running);
		} else {
			this.#runningByHost.delete(host);
		}
	}

	/** Servers that can accept the request now. */
	candidates(requirements: ServerRequirements): readonly Candidate[] {
		return this.#serversIn(requirements.pool)
			.filter(server => server.acceptsWork && !requirements.triedHosts.includes(server.host))
			.map(server => this.#toCandidate(server, requirements.mayProbe))
			.filter(candidate => candidate.freeSlots > 0);
	}

	/** Returns true if a server of the pool that was not tried yet accepts work and is not ejected, with or without a free slot. */
	hasUntried(requirements: ServerRequirements): boolean {
		return this.#serversIn(requirements.pool).some(server => server.acceptsWork
			&& !requirements.triedHosts.includes(server.host)
			&& this.#stateOf(server.host) !== 'ejected');
	}

	/** Number of free slots in the pool that this gate could fill now. */
	freeSlots(pool: string): number {
		return this.candidates({pool, triedHosts: [], mayProbe: true})
			.reduce((sum, candidate) => sum + candidate.freeSlots, 0);
	}

	/** Number of slots in the pool that are granted to this gate on servers that accept work. */
	grantedSlots(pool: string): number {
		return this.#serversIn(pool)
			.filter(server => server.acceptsWork)
			.reduce((sum, server) => sum + this.#granted(server.host), 0);
	}

	/** Records an outcome; returns the change of health that it causes. */
	recordOutcome(host: string, isSuccess: boolean, nowMs: number): HealthChange | undefined {
		const server = this.#servers.get(host);
		if (server === undefined) {
			return undefined;
		}

		const health = this.#health(host);
		const stateBefore = health.state;
		health.record(isSuccess, nowMs);
		if (!isSuccess && health.state === 'healthy' && this.#isOutlier(server, health) && this.#mayEject(server)) {
			health.eject(nowMs);
		}

		if (health.state === 'ejected') {
			this.#ejectedHosts.add(host);
		}

		return health.state === stateBefore ? undefined : this.#changeOf(server, health);
	}

	/** Starts probing the servers whose ejection time has ended. */
	startProbes(nowMs: number): readonly HealthChange[] {
		const changes: HealthChange[] = [];
		for (const host of this.#ejectedHosts) {
			const server = this.#servers.get(host);
			const health = this.#healthByHost.get(host);
			if (server !== undefined && health?.startProbing(nowMs) === true) {
				changes.push(this.#changeOf(server, health));
			}

			if (health?.state !== 'ejected') {
				this.#ejectedHosts.delete(host);
			}
		}

		return changes;
	}

	/** Status of all servers, for the dump. */
	describe(): readonly ServerStatus[] {
		return [...this.#servers.values()].map(server => ({
			host: server.host,
			pool: server.pool,
			acceptsWork: server.acceptsWork,
			running: this.running(server.host),
			granted: this.#granted(server.host),
			health: this.#stateOf(server.host),
			successRate: this.#healthByHost.get(server.host)?.successRate ?? 1,
		}));
	}

	#serversIn(pool: string): readonly BackendServer[] {
		return this.#serversByPool.get(pool) ?? [];
	}

	#granted(host: string): number {
		return this.#slotsByHost.get(host) ?? 0;
	}

	#toCandidate(server: BackendServer, mayProbe: boolean): Candidate {
		const running = this.running(server.host);
		return {
			host: server.host,
			address: server.address,
			running,
			freeSlots: Math.min(this.#granted(server.host), this.#maxRunningByHealth(server.host, mayProbe)) - running,
		};
	}

	/** Maximum number of running requests that the host's health permits. A server under probe gets one request at a time. */
	#maxRunningByHealth(host: string, mayProbe: boolean): number {
		const state = this.#stateOf(host);
		if (state === 'healthy') {
			return Infinity;
		}

		return state === 'probing' && mayProbe ? 1 : 0;
	}

	#stateOf(host: string): HealthState {
		return this.#healthByHost.get(host)?.state ?? 'healthy';
	}

	#health(host: string): ServerHealth {
		let health = this.#healthByHost.get(host);
		if (health === undefined) {
			health = new ServerHealth();
			this.#healthByHost.set(host, health);
		}

		return health;
	}

	/** Returns true if the server is an outlier in its pool. If all servers fail alike, the cause is not the server. */
	#isOutlier(server: BackendServer, health: ServerHealth): boolean {
		if (health.isFailingRepeatedly && this.#fractionOfOthersFailing(server) < 0.5) {
			return true;
		}

		return health.hasSuccessRate && health.successRate < this.#meanSuccessRateOfOthers(server) - ejectBelowPoolRate;
	}

	#fractionOfOthersFailing(server: BackendServer): number {
		const others = this.#serversIn(server.pool).filter(other => other.host !== server.host);
		const failing = others.filter(other => this.#healthByHost.get(other.host)?.isFailingRepeatedly === true);
		return others.length === 0 ? 1 : failing.length / others.length;
	}

	#meanSuccessRateOfOthers(server: BackendServer): number {
		const rates = this.#serversIn(server.pool)
			.filter(other => other.host !== server.host)
			.map(other => this.#healthByHost.get(other.host))
			.filter(health => health?.hasSuccessRate === true)
			.map(health => health!.successRate);
		return rates.length === 0 ? 0 : rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
	}

	#mayEject(server: BackendServer): boolean {
		const accepting = this.#serversIn(server.pool).filter(other => other.acceptsWork);
		const out = accepting.filter(other => this.#stateOf(other.host) !== 'healthy').length;
		return out + 1 <= Math.floor(accepting.length * maxEjectedFraction);
	}

	#changeOf(server: BackendServer, health: ServerHealth): HealthChange {
		return {
			host: server.host,
			pool: server.pool,
			state: health.state,
			consecutiveFailures: health.consecutiveFailures,
			successRate: health.successRate,
		};
	}
}
