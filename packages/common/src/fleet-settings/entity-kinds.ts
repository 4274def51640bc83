/**
Registry of the kinds of entity in the settings tree, each with its path pattern and its schema. All code that interprets settings paths uses this registry.
*/
import {type z} from '../schema.js';
import {
	budgetSchema, fleetSchema, hostSchema, operatorSchema, poolSchema, queueSchema, teamKeySchema, teamSchema, waveSchema,
} from './schemas.js';
import {type SettingsPath} from './types.js';

export const entityKindNames = ['fleet', 'operators', 'teams', 'keys', 'queues', 'pools', 'hosts', 'budgets', 'waves'] as const;
export type EntityKindName = typeof entityKindNames[number];

/** A kind of entity. In `pattern`, `*` matches any name. */
export type EntityKind = {
	readonly name: EntityKindName;
	readonly pattern: readonly string[];
	readonly schema: z.ZodObject;
};

/** All kinds. A longer pattern precedes a shorter one with the same prefix. */
export const entityKinds: readonly EntityKind[] = [
	{name: 'fleet', pattern: ['fleet'], schema: fleetSchema},
	{name: 'operators', pattern: ['operators', '*'], schema: operatorSchema},
	{name: 'keys', pattern: ['teams', '*', 'keys', '*'], schema: teamKeySchema},
	{name: 'teams', pattern: ['teams', '*'], schema: teamSchema},
	{name: 'queues', pattern: ['queues', '*'], schema: queueSchema},
	{name: 'pools', pattern: ['pools', '*'], schema: poolSchema},
	{name: 'hosts', pattern: ['hosts', '*'], schema: hostSchema},
	{name: 'budgets', pattern: ['budgets', '*'], schema: budgetSchema},
	{name: 'waves', pattern: ['waves', '*'], schema: waveSchema},
];

/** Entity and field that a settings path refers to. */
export type SettingAddress = {
	readonly kind: EntityKind;
	/** Path of the entity, such as `/teams/red`. */
	readonly entityPath: SettingsPath;
	/** The entity's name, the last segment of its path. */
	readonly name: string;
	/** Names of the parent entities, such as the team of a key. */
	readonly parents: readonly string[];
	readonly field: string;
};

const matches = (pattern: readonly string[], segments: readonly string[]): boolean =>
	segments.length === pattern.length + 1
	&& pattern.every((part, index) => part === '*' || part === segments[index]);

/** Returns the entity and field that a path refers to, or `undefined` if no kind has such a path. */
export const addressOf = (path: SettingsPath): SettingAddress | undefined => {
	const segments = path.split('/').slice(1);
	const kind = entityKinds.find(candidate => matches(candidate.pattern, segments));
	if (kind === undefined) {
		return undefined;
	}

	const entitySegments = segments.slice(0, kind.pattern.length);
	const names = entitySegments.filter((_segment, index) => kind.pattern[index] === '*');
	return {
		kind,
		entityPath: `/${entitySegments.join('/')}`,
		name: names.at(-1) ?? kind.name,
		parents: names.slice(0, -1),
		field: segments.at(-1)!,
	};
};
