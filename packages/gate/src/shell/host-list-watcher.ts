/**
Polls the platform's host list and derives the backend servers that a gate may use. A host receives no new work once the settings or the list show it as leaving.
*/
import {
	type CancelTimer, type Clock, type FleetSettings, type Logger,
} from '@poplarnotch/common';
import {type HostList, type ListedHost} from '@poplarnotch/platform';
import {type BackendServer} from '../types.js';

/** The backend servers of the settings; each accepts work only if its host is serving in the settings and live in the list. `listed` is `undefined` until the list has been read once; until then only the settings count. */
export const backendServersOf = (settings: FleetSettings, listed: ReadonlyMap<string, ListedHost> | undefined): readonly BackendServer[] =>
	[...settings.hosts].map(([host, {pool, state, address}]) => ({
		host,
		pool,
		address,
		acceptsWork: state === 'serving' && (listed === undefined || listed.get(host)?.state === 'live'),
	}));

export type HostListWatcherParts = {
	readonly hostList: HostList;
	readonly clock: Clock;
	readonly log: Logger;
	readonly pollIntervalMs: number;
	/** Called with each listing that differs from the previous one. */
	onListing(listed: ReadonlyMap<string, ListedHost>): void;
};

/** Polls the host list at a fixed interval. */
export class HostListWatcher {
	readonly #parts: HostListWatcherParts;
	#lastHosts: readonly ListedHost[] | undefined;
	#hasFailed = false;
	#isStopped = false;
	#cancel: CancelTimer | undefined;

	constructor(parts: HostListWatcherParts) {
		this.#parts = parts;
	}

	async start(): Promise<void> {
		await this.#poll();
	}

	stop(): void {
		this.#isStopped = true;
		this.#cancel?.();
	}

	async #poll(): Promise<void> {
		try {
			const {hosts} = await this.#parts.hostList.list();
			this.#hasFailed = false;
			this.#applyListing(hosts);
		} catch (error) {
			this.#reportFailure(error);
		}

		if (!this.#isStopped) {
			this.#cancel = this.#parts.clock.schedule(this.#parts.pollIntervalMs, () => {
				void this.#poll();
			});
		}
	}

	#applyListing(hosts: readonly ListedHost[]): void {
		// The client of the host list returns the same array while the list is unchanged.
		if (hosts !== this.#lastHosts && !this.#isStopped) {
			this.#lastHosts = hosts;
			this.#parts.onListing(new Map(hosts.map(host => [host.host, host])));
		}
	}

	/** Logs the first of consecutive failures. The last listing stays in use while the list cannot be read. */
	#reportFailure(error: unknown): void {
		if (!this.#hasFailed) {
			this.#hasFailed = true;
			this.#parts.log.warn({event: 'host_list_unavailable', reason: (error as Error).message});
		}
	}
}
