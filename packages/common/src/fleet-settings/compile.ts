/**
Compiles the flat settings tree into records and validates each record against its schema. A compiler keeps the last tree that it compiled and parses only the entities that differ in the next tree, so that parsing one change costs the same in a small and a large fleet. `check.ts` validates references between entities.
*/
import * as E from 'fp-ts/lib/Either.js';
import {type Checked, type Finding} from '../findings.js';
import {type JsonValue} from '../json.js';
import {parseWith} from '../schema.js';
import {addressOf, type EntityKindName, type SettingAddress} from './entity-kinds.js';
import {type FleetOptions} from './schemas.js';
import {
	type FleetSettings, type SettingsPath, type SettingsTree,
} from './types.js';

const defaultFleetOptions: FleetOptions = {
	shareFairnessWeight: 1,
	bufferCostWeight: 1,
	moveWeight: 1,
	rolloutWeight: 1,
};

/** The settings of a fleet without any settings: only defaults. */
export const emptyFleetSettings: FleetSettings = {
	revision: 0,
	fleet: defaultFleetOptions,
	operators: new Map(),
	teams: new Map(),
	keys: new Map(),
	queues: new Map(),
	pools: new Map(),
	hosts: new Map(),
	budgets: new Map(),
	waves: new Map(),
};

/** Entities that differ between two trees, by path. */
type ChangedEntities = ReadonlyMap<SettingsPath, SettingAddress>;

type EntityRecord = Readonly<Record<string, unknown>>;

/** A parsed entity; `record` is `undefined` if the entity was removed or is invalid. */
type ParsedEntity = {
	readonly path: SettingsPath;
	readonly address: SettingAddress;
	readonly record: EntityRecord | undefined;
};

const unknownPath = (path: SettingsPath): Finding => ({
	place: path,
	code: 'unknown-path',
	message: 'no setting has this path',
});

const isKnownField = (address: SettingAddress): boolean => Object.hasOwn(address.kind.schema.shape, address.field);

const changedPaths = (from: SettingsTree, to: SettingsTree): readonly SettingsPath[] => {
	const removed = [...from.keys()].filter(path => !to.has(path));
	const changed = [...to.keys()].filter(path => from.get(path) !== to.get(path));
	return [...removed, ...changed];
};

const changedEntities = (from: SettingsTree, to: SettingsTree, findings: Finding[]): ChangedEntities => {
	const entities = new Map<SettingsPath, SettingAddress>();
	for (const path of changedPaths(from, to)) {
		const address = addressOf(path);
		if (address === undefined || !isKnownField(address)) {
			findings.push(unknownPath(path));
		} else {
			entities.set(address.entityPath, address);
		}
	}

	return entities;
};

const fieldsOf = (tree: SettingsTree, {entityPath, kind}: SettingAddress): Readonly<Record<string, JsonValue>> =>
	Object.fromEntries(Object.keys(kind.schema.shape)
		.map(field => [field, tree.get(`${entityPath}/${field}`)] as const)
		.filter((entry): entry is readonly [string, JsonValue] => entry[1] !== undefined));

const parseEntity = (tree: SettingsTree, path: SettingsPath, address: SettingAddress, findings: Finding[]): ParsedEntity => {
	const fields = fieldsOf(tree, address);
	if (Object.keys(fields).length === 0) {
		return {path, address, record: undefined};
	}

	const parsed = parseWith(address.kind.schema, fields, path);
	if (E.isLeft(parsed)) {
		findings.push(...parsed.left);
		return {path, address, record: undefined};
	}

	const [team] = address.parents;
	return {path, address, record: team === undefined ? parsed.right : {...parsed.right, team}};
};

type Records = Record<Exclude<EntityKindName, 'fleet'>, ReadonlyMap<string, unknown>>;

/** Replaces changed entities in earlier settings. Only the maps of changed kinds are copied; the others are shared with the earlier settings. */
class RecordUpdate {
	fleet: FleetOptions;
	readonly #records: Records;
	readonly #copies = new Map<string, Map<string, unknown>>();
	readonly #findings: Finding[];

	constructor(settings: FleetSettings, findings: Finding[]) {
		const {revision, fleet, ...records} = settings;
		this.fleet = fleet;
		this.#records = records;
		this.#findings = findings;
	}

	get records(): Records {
		return {...this.#records, ...Object.fromEntries(this.#copies)};
	}

	remove({address}: ParsedEntity): void {
		if (address.kind.name === 'fleet') {
			this.fleet = defaultFleetOptions;
			return;
		}

		const ofKind = this.#mutableCopyOf(address.kind.name);
		if (this.#isOfSameTeam(ofKind.get(address.name), address)) {
			ofKind.delete(address.name);
		}
	}

	put({path, address, record}: ParsedEntity): void {
		if (address.kind.name === 'fleet') {
			this.fleet = record as FleetOptions;
			return;
		}

		const ofKind = this.#mutableCopyOf(address.kind.name);
		if (ofKind.has(address.name) && !this.#isOfSameTeam(ofKind.get(address.name), address)) {
			this.#findings.push({place: path, code: 'duplicate-name', message: `"${address.name}" is already in use elsewhere`});
			return;
		}

		ofKind.set(address.name, record);
	}

	/** Returns true if the record and the address belong to the same team, or if neither belongs to a team. */
	#isOfSameTeam(record: unknown, {parents}: SettingAddress): boolean {
		return (record as {readonly team?: string} | undefined)?.team === parents[0];
	}

	#mutableCopyOf(kind: keyof Records): Map<string, unknown> {
		const copy = this.#copies.get(kind) ?? new Map(this.#records[kind]);
		this.#copies.set(kind, copy);
		return copy;
	}
}

/** Compiles successive trees incrementally. */
export class SettingsCompiler {
	#tree: SettingsTree = new Map();
	#settings: FleetSettings = emptyFleetSettings;

	/** Compiles the tree. All findings are returned together, each with its path. A tree with findings does not become the base of the next compilation. */
	compile(tree: SettingsTree, revision: number): Checked<FleetSettings> {
		const findings: Finding[] = [];
		const entities = changedEntities(this.#tree, tree, findings);
		const parsed = [...entities].map(([path, address]) => parseEntity(tree, path, address, findings));
		const settings = this.#applyEntities(parsed, revision, findings);
		if (findings.length > 0) {
			return E.left(findings);
		}

		this.#tree = tree;
		this.#settings = settings;
		return E.right(settings);
	}

	#applyEntities(parsed: readonly ParsedEntity[], revision: number, findings: Finding[]): FleetSettings {
		const update = new RecordUpdate(this.#settings, findings);
		for (const entity of parsed.filter(candidate => candidate.record === undefined)) {
			update.remove(entity);
		}

		for (const entity of parsed.filter(candidate => candidate.record !== undefined)) {
			update.put(entity);
		}

		const replaced = {revision, fleet: update.fleet, ...update.records};
		return replaced as FleetSettings;
	}
}

/** Compiles one tree from scratch. */
export const compileFleetSettings = (tree: SettingsTree, revision: number): Checked<FleetSettings> =>
	new SettingsCompiler().compile(tree, revision);
