/**
Converts between the settings tree and INI text: each section is an entity's path, and each key is one of its fields. The items of lists are separated by commas.
*/
import {stringify} from 'ini';
import {type IniDocument} from '../ini-file.js';
import {type JsonValue} from '../json.js';
import {scalarFromText} from '../process-settings.js';
import {isTextSchema, type z} from '../schema.js';
import {addressOf} from './entity-kinds.js';
import {type SettingsPath, type SettingsTree} from './types.js';

/** Fields whose value is a list, by entity kind. */
const listFields = new Set(['queues.teams', 'queues.idempotentMethods', 'waves.pools']);

const listFromText = (text: string): readonly string[] =>
	text.split(',').map(part => part.trim()).filter(part => part !== '');

/** Converts the text of one setting to a value of the type that its path has. */
export const settingFromText = (path: SettingsPath, text: string): JsonValue => {
	const address = addressOf(path);
	if (address !== undefined && listFields.has(`${address.kind.name}.${address.field}`)) {
		return listFromText(text);
	}

	return isTextSchema(address?.kind.schema.shape[address.field] as z.ZodType | undefined) ? text : scalarFromText(text);
};

/** Returns the settings tree of an INI document. Section `/teams/red` with key `share` becomes `/teams/red/share`. */
export const treeFromIni = (document: IniDocument): SettingsTree => {
	const tree = new Map<SettingsPath, JsonValue>();
	for (const [section, keys] of document.sections) {
		for (const [key, text] of keys) {
			const path = `${section}/${key}`;
			tree.set(path, settingFromText(path, text));
		}
	}

	return tree;
};

const textOf = (value: JsonValue): JsonValue => Array.isArray(value) ? value.join(',') : value;

/** Renders the tree as INI text, with the sections ordered by path. */
export const iniFromTree = (tree: SettingsTree): string => {
	const sections: Record<string, Record<string, JsonValue>> = {};
	for (const [path, value] of [...tree].toSorted(([a], [b]) => a < b ? -1 : 1)) {
		const end = path.lastIndexOf('/');
		const section = path.slice(0, end);
		sections[section] = {...sections[section], [path.slice(end + 1)]: textOf(value)};
	}

	return stringify(sections, {whitespace: true});
};
