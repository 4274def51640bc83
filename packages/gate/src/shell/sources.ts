/**
Sources of the state that all processes share: the settings and the members.
*/
import {type FleetSettings, type JsonObject} from '@poplarnotch/common';
import {type HolderDirectory} from '../claims/types.js';

/** Provides the current settings and reports their changes. */
export interface SettingsSource {
	readonly current: FleetSettings;
	/** Whether the settings have been read. */
	readonly isReady: boolean;
	/** Whether the settings are recent enough to be used. */
	readonly isFresh: boolean;
	start(): void;
	stop(): void;
	/** Notifies the listeners if the settings have become stale since the last check. */
	checkFreshness(): void;
	onChange(listener: (settings: FleetSettings) => void): void;
	onFreshness(listener: (isFresh: boolean) => void): void;
	dump(): JsonObject;
}

/** The gates of the fleet that this gate knows. */
export interface GateDirectory extends HolderDirectory {
	/** Sorted ids of the gates that may serve requests, including this one. */
	readonly gates: readonly string[];
	onChange(listener: () => void): void;
}
