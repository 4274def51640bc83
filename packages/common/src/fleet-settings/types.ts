/**
Types of the settings tree in its two forms: the flat form, which is stored and replicated (one value for each path), and the compiled form, which the processes read.
*/
import {type JsonValue} from '../json.js';
import {
	type Budget, type FleetOptions, type Host, type Operator, type Pool, type Queue, type Team, type TeamKey, type Wave,
} from './schemas.js';

/** A path such as `/teams/red/share`. */
export type SettingsPath = string;

/** The flat form: values by path. */
export type SettingsTree = ReadonlyMap<SettingsPath, JsonValue>;

/** One edit: a new value, or `undefined` to remove the setting. */
export type SettingsEdit = {
	readonly path: SettingsPath;
	readonly value: JsonValue | undefined;
};

/** A key together with the team that owns it. */
export type OwnedKey = TeamKey & {readonly team: string};

/** The compiled form; each map is keyed by the entity's name. */
export type FleetSettings = {
	/** Revision of the tree; each accepted change adds 1. */
	readonly revision: number;
	readonly fleet: FleetOptions;
	readonly operators: ReadonlyMap<string, Operator>;
	readonly teams: ReadonlyMap<string, Team>;
	/** By key id; ids are unique over all teams. */
	readonly keys: ReadonlyMap<string, OwnedKey>;
	readonly queues: ReadonlyMap<string, Queue>;
	readonly pools: ReadonlyMap<string, Pool>;
	readonly hosts: ReadonlyMap<string, Host>;
	readonly budgets: ReadonlyMap<string, Budget>;
	readonly waves: ReadonlyMap<string, Wave>;
};
