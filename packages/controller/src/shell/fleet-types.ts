/**
What the fleet's shell works with.
*/
import {
	type Clock, type FleetSettings, type Logger,
} from '@poplarnotch/common';
import {
	type HostList, type TableService, type Workers,
} from '@poplarnotch/platform';
import {type SettingsChange, type SettingsStore} from '@poplarnotch/state';
import {type GateDrainReport} from '../fleet/types.js';

/** Asks the gates about hosts. Fails with a `PoplarnotchError` where the gates that may be alive are not known. */
export type AskGates = (hosts: readonly string[], revision: number) => Promise<GateAnswers>;

/** What the gates answered. */
export type GateAnswers = {
	/** All gates that may be alive, also those that did not answer. */
	readonly processIds: readonly string[];
	readonly confirmations: readonly GateDrainReport[];
};

/** Asks a backend server whether it serves. */
export interface HostProbe {
	/** Never fails: no answer is `false`. */
	probe(address: string): Promise<boolean>;
}

/** The part of a settings replica that the fleet needs. */
export interface FleetSettingsSource {
	readonly current: FleetSettings;
	onChange(listener: (settings: FleetSettings) => void): () => void;
	offerChanges(changes: readonly SettingsChange[]): void;
}

/** What a `FleetRunner` is built from. */
export type FleetRunnerOptions = {
	readonly processId: string;
	readonly replica: FleetSettingsSource;
	readonly store: SettingsStore;
	readonly table: TableService;
	readonly hostList: HostList;
	readonly workers: Workers;
	readonly probe: HostProbe;
	readonly askGates: AskGates;
	readonly clock: Clock;
	readonly logger: Logger;
};
