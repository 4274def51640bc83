/**
Keeps the platform's hosts in memory, with reboots and a host list that lags behind.
*/
import {type Clock} from '@poplarnotch/common';
import {
	type HostList, type HostListing, type HostListingUpdate, type ListedHost,
} from '@poplarnotch/platform';

/** Default time from the start of a reboot until the host is listed again. */
const defaultRebootMs = 500;

/** Snapshots of the list are dropped after this time, which is therefore the longest possible lag. */
const snapshotRetentionMs = 600_000;

type Snapshot = {
	/** The first snapshot has version 1. */
	readonly version: number;
	readonly atMs: number;
	readonly hosts: readonly ListedHost[];
};

/** Current hosts of the platform stand-in, and the list of them as of `lagMs` ago. */
export class MemoryHosts implements HostList {
	/** Age of the host list that is returned to callers. */
	lagMs = 0;
	rebootMs = defaultRebootMs;
	readonly #clock: Clock;
	readonly #hosts = new Map<string, ListedHost>();
	readonly #bootCounts = new Map<string, number>();
	readonly #rebootIds = new Set<string>();
	readonly #rebooting = new Set<string>();
	readonly #appliedChanges = new Map<string, string>();
	#snapshots: Snapshot[] = [];

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#takeSnapshot();
	}

	/** Adds the host or changes its state. */
	put(host: string, state: ListedHost['state'] = 'live'): void {
		const bootCount = this.#bootCounts.get(host) ?? 1;
		this.#bootCounts.set(host, bootCount);
		this.#hosts.set(host, {host, state, bootCount});
		this.#takeSnapshot();
	}

	/** Removes the host from the list. */
	remove(host: string): void {
		this.#hosts.delete(host);
		this.#takeSnapshot();
	}

	/** Reboots the host once for each `rebootId`: it is removed from the list and added again after `rebootMs` with a higher boot count. */
	reboot(host: string, rebootId: string, change: string): void {
		const rebootKey = `${host} ${rebootId}`;
		if (this.#rebootIds.has(rebootKey)) {
			return;
		}

		this.#rebootIds.add(rebootKey);
		this.#rebooting.add(host);
		this.remove(host);
		this.#clock.schedule(this.rebootMs, () => {
			this.#rebooting.delete(host);
			this.#appliedChanges.set(host, change);
			this.#bootCounts.set(host, this.bootCountOf(host) + 1);
			this.put(host);
		});
	}

	bootCountOf(host: string): number {
		return this.#bootCounts.get(host) ?? 1;
	}

	/** Hosts that are rebooting. */
	get rebooting(): ReadonlySet<string> {
		return this.#rebooting;
	}

	/** The change that each host's last reboot applied. */
	get appliedChanges(): ReadonlyMap<string, string> {
		return this.#appliedChanges;
	}

	/** The current hosts, without lag. */
	get current(): readonly ListedHost[] {
		return [...this.#hosts.values()];
	}

	async list(): Promise<HostListing> {
		return {hosts: this.#listedSnapshot().hosts, ageMs: Math.round(this.lagMs)};
	}

	/** Returns the changes of the list since a version, or the whole list if that version has been dropped. */
	listSince(knownVersion: number): HostListingUpdate {
		const listed = this.#listedSnapshot();
		const knownSnapshot = this.#snapshots.find(snapshot => snapshot.version === knownVersion);
		const knownHosts = new Map(knownSnapshot?.hosts.map(host => [host.host, host]));
		const listedNames = new Set(listed.hosts.map(host => host.host));
		return {
			version: listed.version,
			isWhole: knownSnapshot === undefined,
			// Every change replaces the host's record, so an identical object means that nothing changed.
			hosts: listed.hosts.filter(host => knownHosts.get(host.host) !== host),
			gone: [...knownHosts.keys()].filter(name => !listedNames.has(name)),
			ageMs: Math.round(this.lagMs),
		};
	}

	#listedSnapshot(): Snapshot {
		const asOfMs = this.#clock.nowMs() - this.lagMs;
		return this.#snapshots.findLast(candidate => candidate.atMs <= asOfMs) ?? this.#snapshots[0]!;
	}

	#takeSnapshot(): void {
		const nowMs = this.#clock.nowMs();
		this.#snapshots = [
			...this.#snapshots.filter((snapshot, index, all) => index === all.length - 1 || snapshot.atMs >= nowMs - snapshotRetentionMs),
			{version: (this.#snapshots.at(-1)?.version ?? 0) + 1, atMs: nowMs, hosts: this.current},
		];
	}
}
