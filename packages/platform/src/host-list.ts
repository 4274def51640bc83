/**
The platform's list of hosts. The list lags: a host may have left, or returned, some seconds before the list shows it.
*/

/** A host as the platform lists it. */
export type ListedHost = {
	readonly host: string;
	readonly state: 'live' | 'leaving';
	/** The platform's count of the host's boots; an increase shows that the host was rebooted. */
	readonly bootCount: number;
};

/** A snapshot of the list. Hosts that it does not contain are gone. `hosts` is the same array for as long as nothing changes. */
export type HostListing = {
	readonly hosts: readonly ListedHost[];
	/** Age of the listing when `list` returned it. */
	readonly ageMs: number;
};

/** The list as transferred: the difference from a version that the reader holds, or the whole list. */
export type HostListingUpdate = {
	/** Version from which the next request asks for the difference; always positive. */
	readonly version: number;
	/** True if `hosts` is the whole list. */
	readonly isWhole: boolean;
	/** Hosts that are new or changed. */
	readonly hosts: readonly ListedHost[];
	/** Names of hosts that are no longer listed. */
	readonly gone: readonly string[];
	readonly ageMs: number;
};

/** Access to the host list; fails with `UnavailableError`. */
export interface HostList {
	list(): Promise<HostListing>;
}
