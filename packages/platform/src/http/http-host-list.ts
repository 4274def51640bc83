/**
Client of the host list over HTTP/JSON. It asks for the difference to the version that it knows, so that an unchanged list costs a few bytes whatever the fleet's size. All readers of a process share one client, and with it each listing for a short time, so that a further reader costs no further calls.
*/
import {type Clock, SystemClock} from '@poplarnotch/common';
import {
	type HostList, type HostListing, type HostListingUpdate, type ListedHost,
} from '../host-list.js';
import {type PlatformConnection} from './connection.js';
import {hostListingUpdateSchema} from './schemas.js';

/** Version that no list has: asks for the whole list. */
const unknownVersion = 0;

/**
Time for which a listing is passed to further readers. What depends on it: a host that is shown leaving must get no new work within 2 s, so this and a gate's own poll of 500 ms together stay below.
*/
const reuseMs = 900;

type Asked = {
	readonly askedAtMs: number;
	readonly listing: Promise<HostListing>;
};

const isUnchanged = (update: HostListingUpdate): boolean =>
	!update.isWhole && update.hosts.length === 0 && update.gone.length === 0;

/** `HostList` over HTTP. */
export class HttpHostList implements HostList {
	readonly #connection: PlatformConnection;
	readonly #clock: Clock;
	#asked: Asked | undefined;
	#version = unknownVersion;
	#listing: readonly ListedHost[] = [];

	constructor(connection: PlatformConnection, clock: Clock = new SystemClock()) {
		this.#connection = connection;
		this.#clock = clock;
	}

	async list(): Promise<HostListing> {
		const nowMs = this.#clock.nowMs();
		if (this.#asked === undefined || nowMs - this.#asked.askedAtMs >= reuseMs) {
			this.#asked = {askedAtMs: nowMs, listing: this.#ask()};
		}

		const asked = this.#asked;
		try {
			const {hosts, ageMs} = await asked.listing;
			return {hosts, ageMs: ageMs + (nowMs - asked.askedAtMs)};
		} catch (error) {
			// A failure is told to those who waited for it, and not to later readers.
			if (this.#asked === asked) {
				this.#asked = undefined;
			}

			throw error;
		}
	}

	async #ask(): Promise<HostListing> {
		const askedVersion = this.#version;
		const update = await this.#connection.call({
			method: 'GET', path: '/hosts', query: {after: String(askedVersion)}, isWrite: false,
		}, hostListingUpdateSchema);
		// A late answer is a difference to a version that is no longer held; it is dropped.
		if (askedVersion === this.#version) {
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
