/**
Runs several backend-server stand-ins in one process. The pool polls the platform stand-in for their faults and reboots.
*/
import {request} from 'undici';
import * as E from 'fp-ts/lib/Either.js';
import {
	type CancelTimer, type Clock, parseWith, SystemClock, z,
} from '@poplarnotch/common';
import {backendFaultsSchema} from '../platform/faults.js';
import {type BackendRecord, BackendStandIn} from './backend-stand-in.js';
import {RunCounter} from './run-counter.js';

/** Interval between two polls of the platform stand-in. */
const pollIntervalMs = 50;

const controlSchema = z.object({
	faults: z.record(z.string(), backendFaultsSchema),
	rebooting: z.array(z.string()),
});

/** Address and size of one backend server. */
export type BackendServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly slots?: number;
};

/** Runs backend servers until the pool is closed. */
export class BackendPool {
	readonly #servers: readonly BackendStandIn[];
	readonly #platformUrl: string | undefined;
	readonly #clock: Clock;
	#cancelPoll: CancelTimer | undefined;
	#isClosed = false;

	/** Without `platformUrl`, faults can only be set in-process. */
	constructor(servers: readonly BackendServerOptions[], platformUrl?: string, clock: Clock = new SystemClock()) {
		const totalRuns = new RunCounter();
		this.#servers = servers.map(options => new BackendStandIn({...options, clock, totalRuns}));
		this.#platformUrl = platformUrl;
		this.#clock = clock;
	}

	/** Starts all servers and returns their base URLs by host. */
	async start(): Promise<ReadonlyMap<string, string>> {
		const urls = new Map<string, string>();
		for (const server of this.#servers) {
			urls.set(server.host, await server.start());
		}

		this.#schedulePoll();
		return urls;
	}

	get servers(): readonly BackendStandIn[] {
		return this.#servers;
	}

	get records(): readonly BackendRecord[] {
		return this.#servers.map(server => server.record);
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#cancelPoll?.();
		await Promise.all(this.#servers.map(async server => server.close()));
	}

	#schedulePoll(): void {
		if (this.#platformUrl !== undefined && !this.#isClosed) {
			this.#cancelPoll = this.#clock.schedule(pollIntervalMs, () => {
				void this.#poll(this.#platformUrl!);
			});
		}
	}

	async #poll(platformUrl: string): Promise<void> {
		try {
			const response = await request(`${platformUrl}/backends`);
			const control = parseWith(controlSchema, await response.body.json(), 'GET /backends');
			if (E.isRight(control) && !this.#isClosed) {
				await this.#applyControl(control.right);
			}
		} catch {
			// The platform stand-in has not started yet or has stopped; the servers keep their current faults.
		}

		this.#schedulePoll();
	}

	async #applyControl(control: z.infer<typeof controlSchema>): Promise<void> {
		for (const server of this.#servers) {
			await server.setFaults(control.faults[server.host] ?? {});
			await server.setRebooting(control.rebooting.includes(server.host));
		}
	}
}
