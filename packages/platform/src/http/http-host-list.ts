/**
Client of the host list over HTTP/JSON. It requests the difference from the version that it holds, so that an unchanged list costs a few bytes whatever the fleet's size. All readers of a process share one client, which caches each listing for a short time, so that further readers cause no further calls.
*/
import {type Clock, SystemClock} from '@poplarnotch/common';
import {
	type HostList, type HostListing, type HostListingUpdate, type ListedHost,
} from '../host-list.js';
import {type PlatformConnection} from './connection.js';
import {hostListingUpdateSchema} from './schemas.js';

/** Version that no list has; requests the whole list. */
const unknownVersion = 0;

/**
Time for which a cached listing is reused. A host that is listed as leaving must stop getting new work within 2 s, so the sum of this time and a gate's poll interval of 500 ms must stay below 2 s.
*/
const cacheTtlMs = 900;

type CachedListing = {
	readonly requestedAtMs: number;
	readonly listing: Promise<HostListing>;
};

const isUnchanged = (update: HostListingUpdate): boolean =>
	!update.isWhole && update.hosts.length === 0 && update.gone.length === 0;

/** `HostList` over HTTP. */
export class HttpHostList implements HostList {
	readonly #connection: PlatformConnection;
	readonly #clock: Clock;
	#cached: CachedListing | undefined;
	#version = unknownVersion;
	#listing: readonly ListedHost[] = [];

	constructor(connection: PlatformConnection, clock: Clock = new SystemClock()) {
		this.#connection = connection;
		this.#clock = clock;
	}

	async list(): Promise<HostListing> {
		const nowMs = this.#clock.nowMs();
		if (this.#cached === undefined || nowMs - this.#cached.requestedAtMs >= cacheTtlMs) {
			this.#cached = {requestedAtMs: nowMs, listing: this.#fetch()};
		}

		const cached = this.#cached;
		try {
			const {hosts, ageMs} = await cached.listing;
			return {hosts, ageMs: ageMs + (nowMs - cached.requestedAtMs)};
		} catch (error) {
			// A failure is reported to the readers that waited for this call; later readers make a new call.
			if (this.#cached === cached) {
				this.#cached = undefined;
			}

			throw error;
		}
	}

	async #fetch(): Promise<HostListing> {
		const requestedVersion = this.#version;
		const update = await this.#connection.call({
			method: 'GET', path: '/hosts', query: {after: String(requestedVersion)}, isWrite: false,
		}, hostListingUpdateSchema);
		// A late answer is a difference from a version that is no longer held, so it is ignored.
		if (requestedVersion === this.#version) {
			this.#apply(update);
		}

		return {hosts: this.#listing, ageMs: update.ageMs};
	}

	#apply(update: HostListingUpdate): void {
		this.#version = update.version;
		if (isUnchanged(update)) {
			return;
		}

		const hosts = new Map(update.isWhole ? [] : this.#listing.map(host => [host.host, host]));
		for (const name of update.gone) {
			hosts.delete(name);
		}

		for (const host of update.hosts) {
			hosts.set(host.host, host);
		}

		this.#listing = [...hosts.values()];
	}
}
