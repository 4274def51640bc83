/**
Simulates gates in virtual time with real registrations, directories and allotment managers over one table service. Work that a gate started continues to its end when the gate is killed or paused; the simulation counts the work that is actually running.
*/
import {
	emptyFleetSettings, type FleetSettings, MetricsRegistry, SeededRandom, type VirtualClock,
} from '@poplarnotch/common';
import {type TableService} from '@poplarnotch/platform';
import {MemoryHosts, PausableProcess} from '@poplarnotch/standin';
import {AllotmentManager, MemberDirectory, MemberRegistration} from '@poplarnotch/state';

export type GateSimulationOptions = {
	readonly clock: VirtualClock;
	readonly table: TableService;
	readonly teams: readonly string[];
	readonly limit: number;
	readonly maxRunMs: number;
	readonly seed: number;
};

const graceMs = 500;
const gateTickMs = 20;

const total = (numbers: Iterable<number>): number => [...numbers].reduce((sum, number) => sum + number, 0);

/** One incarnation of a gate process. */
export class SimulatedGate {
	readonly process: PausableProcess;
	readonly waiting = new Map<string, number>();
	manager: AllotmentManager | undefined;
	isKilled = false;
	readonly #simulation: GateSimulation;
	readonly #registration: MemberRegistration;
	readonly #directory: MemberDirectory;
	/** End times of the work that this incarnation started, by team; entries that have ended stay until the gate's next tick. */
	readonly #ends = new Map<string, number[]>();

	constructor(simulation: GateSimulation, processId: string, runId: string) {
		const {clock, table} = simulation.options;
		this.#simulation = simulation;
		this.process = new PausableProcess(clock);
		const ownTable = this.process.wrapTable(table);
		this.#registration = new MemberRegistration({
			table: ownTable,
			clock: this.process,
			identity: {
				processId, role: 'gate', host: `host-${processId}`, dataCentre: 'dc-1', region: 'region-1', operationsUrl: 'http://127.0.0.1:1', runId,
			},
		});
		this.#directory = new MemberDirectory({table: ownTable, hostList: simulation.hosts, clock: this.process});
		this.#registration.onReplaced(() => {
			this.kill();
		});
		void this.#start(ownTable);
	}

	/** Kills the process; its work continues. */
	kill(): void {
		this.isKilled = true;
		this.#registration.close();
		this.#directory.close();
		this.manager?.close();
	}

	applySettings(settings: FleetSettings): void {
		this.manager?.applySettings(settings);
	}

	/** The number of requests that are actually running. */
	runningOf(team: string): number {
		const nowMs = this.#simulation.options.clock.nowMs();
		return (this.#ends.get(team) ?? []).filter(endMs => endMs > nowMs).length;
	}

	/** The number of requests that may run without any further commit. */
	usableOf(team: string): number {
		const amount = this.isKilled ? 0 : this.manager?.amountOf(team) ?? 0;
		return Math.max(this.runningOf(team), amount);
	}

	async #start(table: TableService): Promise<void> {
		const self = await this.#registration.register();
		if (this.isKilled) {
			return;
		}

		this.#directory.start();
		this.manager = new AllotmentManager({
			table, members: this.#directory, self, clock: this.process, random: this.#simulation.random, metrics: this.#simulation.metrics,
		});
		this.manager.applySettings(this.#simulation.settings);
		this.manager.start();
		this.#tick();
	}

	#tick(): void {
		if (this.isKilled) {
			return;
		}

		for (const team of this.#simulation.options.teams) {
			this.#serve(team);
		}

		this.process.schedule(gateTickMs, () => {
			this.#tick();
		});
	}

	#serve(team: string): void {
		const {clock, maxRunMs} = this.#simulation.options;
		const nowMs = clock.nowMs();
		const ends = (this.#ends.get(team) ?? []).filter(endMs => endMs > nowMs);
		let waiting = this.waiting.get(team) ?? 0;
		for (const allowed = this.manager!.amountOf(team); waiting > 0 && ends.length < allowed; waiting--) {
			ends.push(nowMs + (maxRunMs * (0.1 + (0.9 * this.#simulation.random.next()))));
		}

		this.#ends.set(team, ends);
		this.waiting.set(team, waiting);
		this.manager!.reportDemand({team, running: ends.length, waiting});
	}
}

/** All gates with their hosts and settings. */
export class GateSimulation {
	readonly options: GateSimulationOptions;
	readonly hosts: MemoryHosts;
	readonly random: SeededRandom;
	readonly metrics = new MetricsRegistry();
	settings: FleetSettings;
	readonly #runs: SimulatedGate[] = [];
	readonly #current = new Map<string, SimulatedGate>();

	constructor(options: GateSimulationOptions) {
		this.options = options;
		this.hosts = new MemoryHosts(options.clock);
		this.random = new SeededRandom(options.seed);
		this.settings = this.#settingsWith(options.limit);
	}

	/** Starts an incarnation of a process; an earlier one is not ended. */
	start(processId: string): SimulatedGate {
		this.hosts.put(`host-${processId}`);
		const run = new SimulatedGate(this, processId, `run-${this.#runs.length}`);
		this.#runs.push(run);
		this.#current.set(processId, run);
		return run;
	}

	current(processId: string): SimulatedGate {
		return this.#current.get(processId)!;
	}

	get runs(): readonly SimulatedGate[] {
		return this.#runs;
	}

	setLimit(limit: number): void {
		this.settings = this.#settingsWith(limit);
		for (const run of this.#runs) {
			run.applySettings(this.settings);
		}
	}

	running(team: string): number {
		return total(this.#runs.map(run => run.runningOf(team)));
	}

	usable(team: string): number {
		return total(this.#runs.map(run => run.usableOf(team)));
	}

	close(): void {
		for (const run of this.#runs) {
			run.kill();
		}
	}

	#settingsWith(upperLimit: number): FleetSettings {
		const {teams, maxRunMs} = this.options;
		return {
			...emptyFleetSettings,
			teams: new Map(teams.map(team => [team, {share: 1, upperLimit}])),
			queues: new Map([['work', {
				pool: 'main', open: false, teams: [], idempotentMethods: [], urgent: false, maxQueued: 1000, maxWaitMs: 10_000, maxRunMs, maxBodyBytes: 1000,
			}]]),
			pools: new Map([['main', {
				slotsPerServer: 8, connectionsPerServer: 64, spare: false, cancelGraceMs: graceMs, minHosts: 0,
			}]]),
		};
	}
}
