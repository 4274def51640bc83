/**
One deployment: the stand-ins of the platform and its workers, and the daemons. It releases all of it, also if the soak is interrupted.
*/
import {mkdirSync, mkdtempSync, rmSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import os from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {type LifecycleManager, listenOn, type RandomSource} from '@poplarnotch/common';
import {BusyProcesses} from './busy-processes.js';
import {Daemon, SoakError} from './daemons.js';
import {type LastingSteps} from './lasting-steps.js';
import {Ledger} from './ledger.js';
import {Machines} from './machines.js';
import {Operator} from './operator.js';
import {ProcessorQuota} from './processor-quota.js';
import {Record} from './record.js';
import {readyPort, zones} from './settings.js';
import {Store} from './store.js';
import {type Traffic} from './traffic.js';

const networks = 200;

/** Each third daemon has a smaller share of the processor, and is to hand the work over to a larger one. */
const cpuShares = [0.675, 0.675, 0.3] as const;

/** Orders to workers carry the fencing token of the holder's lease, or this many times it, plus a number below this that counts the starts of the worker. */
const fencesPerTerm = 1000;

export type DeploymentOptions = {
	readonly daemons: number;
	readonly workers: number;
	readonly feedCut: number;
	/** Share of a core that each daemon may use; 0 leaves them all that there is. */
	readonly cpuQuota: number;
	/** Folder that keeps logs and record; without it they are removed. */
	readonly out: string | undefined;
};

export class Deployment {
	readonly record = new Record();
	readonly ledger = new Ledger();
	readonly store: Store;
	readonly busyProcesses: BusyProcesses;
	readonly quota: ProcessorQuota | undefined;
	readonly daemons: Daemon[] = [];
	lastingSteps: LastingSteps | undefined;
	traffic: Traffic | undefined;
	readonly #options: DeploymentOptions;
	readonly #lifecycle: LifecycleManager;
	#machines: Machines | undefined;
	#operator: Operator | undefined;

	constructor(options: DeploymentOptions, random: RandomSource, lifecycle: LifecycleManager) {
		this.#options = options;
		this.#lifecycle = lifecycle;
		this.store = new Store(random, options.feedCut);
		this.busyProcesses = new BusyProcesses(lifecycle);
		this.quota = options.cpuQuota > 0 ? new ProcessorQuota(options.cpuQuota) : undefined;
		lifecycle.own('processor quota', () => {
			this.quota?.close();
		});
		lifecycle.own('store', () => {
			this.store.close();
		});
	}

	get machines(): Machines {
		return this.#machines!;
	}

	get operator(): Operator {
		return this.#operator!;
	}

	/** The daemon that gives the orders: the one whose lease has the highest fencing token. */
	get holder(): Daemon | undefined {
		return this.daemonOfFence(this.machines.fence);
	}

	/** The highest fencing token that the holder's orders to workers may carry. */
	get lastFenceOfHolder(): number {
		const {fence} = this.machines;
		const term = this.#termOf(fence);
		return term === fence ? fence : (term * fencesPerTerm) + fencesPerTerm - 1;
	}

	/** The daemon that gave an order to a worker with this fencing token. */
	daemonOfFence(fence: number): Daemon | undefined {
		const name = this.store.holderOf(this.#termOf(fence));
		return this.daemons.find(daemon => daemon.name === name);
	}

	/** Starts everything and resolves once all daemons are ready. */
	async start(): Promise<void> {
		const folder = this.#openFolder();
		const network = await this.#claimNetwork();
		const machines = new Machines(this.#options.workers, {
			ip: `${network}.200`, rows: this.store.rows, ledger: this.ledger, record: this.record, lateMsOf: task => this.lastingSteps?.lateMsOf(task) ?? 0,
		});
		this.#machines = machines;
		this.#lifecycle.own('machines', () => {
			machines.close();
		});
		await machines.start();
		this.#operator = new Operator(this.store.rows, machines, this.record);
		this.operator.configure();
		this.#ownDaemons();
		for (let index = 0; index < this.#options.daemons; index++) {
			const zone = zones[index % zones.length]!;
			const name = `edge-${zone}-${1 + Math.floor(index / zones.length)}`;
			const storeAddress = await this.store.listen(`${network}.201`, name);
			const daemon = new Daemon({
				name, zone, ip: `${network}.${1 + index}`, cpuShare: cpuShares[Math.floor(index / zones.length) % cpuShares.length]!, storeAddress, machinesAddress: machines.address,
			}, folder, this.record, this.quota);
			this.daemons.push(daemon);
			daemon.spawn();
		}

		const ready = await Promise.all(this.daemons.map(async daemon => daemon.becomesReady()));
		if (!ready.every(Boolean)) {
			throw new SoakError(`${ready.filter(isReady => !isReady).length} daemons are not ready`);
		}

		this.store.onLeaseWritten = (daemon, ver) => {
			this.record.add(`lease written by ${daemon}, version ${ver}: ${machines.describeListedEnds()}`);
		};

		this.record.add('all daemons are ready');
	}

	#termOf(fence: number): number {
		return this.store.holderOf(fence) === undefined ? Math.floor(fence / fencesPerTerm) : fence;
	}

	#openFolder(): string {
		const {out} = this.#options;
		if (out !== undefined) {
			mkdirSync(out, {recursive: true});
			this.#lifecycle.own('record', () => {
				this.record.write(join(out, 'record.txt'));
			});
			return out;
		}

		const folder = mkdtempSync(join(os.tmpdir(), 'poplarnotch-soak-'));
		process.once('exit', () => {
			rmSync(folder, {recursive: true, force: true});
		});
		return folder;
	}

	#ownDaemons(): void {
		const killAll = (): void => {
			for (const daemon of this.daemons) {
				daemon.kill();
			}
		};

		process.once('exit', killAll);
		this.#lifecycle.own('daemons', killAll);
	}

	/** Returns a prefix of loopback addresses, and keeps other runs from it. */
	async #claimNetwork(): Promise<string> {
		for (let attempt = 0; attempt < networks; attempt++) {
			const network = `127.${20 + ((process.pid + attempt) % networks)}.${1 + (Math.floor(process.pid / networks) % networks)}`;
			const claim = createServer();
			if (await this.#canListen(claim, `${network}.250`)) {
				this.#lifecycle.own('network', () => {
					claim.close();
				});
				return network;
			}
		}

		throw new SoakError('no free loopback addresses');
	}

	async #canListen(server: Server, ip: string): Promise<boolean> {
		try {
			await listenOn(server, ip, readyPort);
			return true;
		} catch {
			// Another run has the address.
			return false;
		}
	}
}
