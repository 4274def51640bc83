/**
Interfaces and dependencies of the fleet runner.
*/
import {
	type Clock, type FleetSettings, type Logger,
} from '@poplarnotch/common';
import {
	type HostList, type TableService, type Workers,
} from '@poplarnotch/platform';
import {type SettingsChange, type SettingsStore} from '@poplarnotch/state';
import {type GateDrainReport} from '../fleet/types.js';

/** Queries the gates about hosts. Rejects with a `PoplarnotchError` if the gates that may be alive are not known. */
export type QueryGates = (hosts: readonly string[], revision: number) => Promise<GateQueryResult>;

/** Result of a query of all gates. */
export type GateQueryResult = {
	/** All gates that may be alive, including those that did not respond. */
	readonly processIds: readonly string[];
	readonly confirmations: readonly GateDrainReport[];
};

/** Probes whether a backend server serves. */
export interface HostProbe {
	/** Never rejects; returns false if there is no response. */
	probe(address: string): Promise<boolean>;
}

/** The part of a settings replica that the fleet needs. */
export interface FleetSettingsSource {
	readonly current: FleetSettings;
	onChange(listener: (settings: FleetSettings) => void): () => void;
	offerChanges(changes: readonly SettingsChange[]): void;
}

/** Dependencies of a `FleetRunner`. */
export type FleetRunnerOptions = {
	readonly processId: string;
	readonly replica: FleetSettingsSource;
	readonly store: SettingsStore;
	readonly table: TableService;
	readonly hostList: HostList;
	readonly workers: Workers;
	readonly probe: HostProbe;
	readonly queryGates: QueryGates;
	readonly clock: Clock;
	readonly logger: Logger;
};
