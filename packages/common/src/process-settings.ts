/**
Reads the settings of one process from an INI file, applies overrides from the command line and validates the result against a schema. Every unknown key and invalid value is reported with its line.
*/
import * as E from 'fp-ts/lib/Either.js';
import {type Checked, type Finding} from './findings.js';
import {type IniDocument, parseIni, placeInIni} from './ini-file.js';
import {isTextSchema, type z} from './schema.js';

/** Schema of a settings file; each section is a strict object of scalar fields. */
export type SettingsSchema = z.ZodObject<Record<string, z.ZodObject>>;

/** A `--set section.key=value` override. */
export type SettingsOverride = {
	readonly section: string;
	readonly key: string;
	readonly text: string;
};

type RawSettings = Record<string, Record<string, unknown>>;

/** Converts text that is a number or a boolean to that type; other text is returned unchanged. */
export const scalarFromText = (text: string): string | number | boolean => {
	if (text === 'true' || text === 'false') {
		return text === 'true';
	}

	return text.trim() !== '' && Number.isFinite(Number(text)) ? Number(text) : text;
};

const overridePattern = /^(?<section>[^.=]+)\.(?<key>[^=]+)=(?<text>.*)$/sv;

/** Parses one override of the form `section.key=value`. */
export const parseOverride = (argument: string): Checked<SettingsOverride> => {
	const groups = overridePattern.exec(argument)?.groups;
	return groups === undefined
		? E.left([{place: `--set ${argument}`, code: 'bad-override', message: 'expected section.key=value'}])
		: E.right({section: groups.section!, key: groups.key!, text: groups.text!});
};

const collectRawSettings = (schema: SettingsSchema, document: IniDocument, overrides: readonly SettingsOverride[]): RawSettings => {
	const raw: RawSettings = {};
	const put = (section: string, key: string, text: string): void => {
		const value = isTextSchema(schema.shape[section]?.shape[key] as z.ZodType | undefined) ? text : scalarFromText(text);
		raw[section] = {...raw[section], [key]: value};
	};

	for (const [section, keys] of document.sections) {
		raw[section] ??= {};
		for (const [key, text] of keys) {
			put(section, key, text);
		}
	}

	for (const override of overrides) {
		put(override.section, override.key, override.text);
	}

	return raw;
};

const addMissingSections = (schema: SettingsSchema, raw: RawSettings): RawSettings => {
	const missing = Object.keys(schema.shape).filter(section => raw[section] === undefined);
	return {...raw, ...Object.fromEntries(missing.map(section => [section, {}]))};
};

const findingsOf = (document: IniDocument, issue: z.core.$ZodIssue): readonly Finding[] => {
	const [section = '', key] = issue.path.map(String);
	if (issue.code !== 'unrecognized_keys') {
		const message = `${[section, key].filter(Boolean).join('.')}: ${issue.message}`;
		return [{place: placeInIni(document, section, key), code: issue.code, message}];
	}

	return issue.keys.map(unknownKey => issue.path.length === 0
		? {place: placeInIni(document, unknownKey), code: 'unknown-section', message: `unknown section "${unknownKey}"`}
		: {place: placeInIni(document, section, unknownKey), code: 'unknown-key', message: `unknown key "${unknownKey}" in section "${section}"`});
};

/** Parses and validates the settings of a process. */
export const readProcessSettings = <Schema extends SettingsSchema>(
	schema: Schema,
	text: string,
	fileName: string,
	overrides: readonly SettingsOverride[],
): Checked<z.infer<Schema>> => {
	const document = parseIni(text, fileName);
	const raw = addMissingSections(schema, collectRawSettings(schema, document, overrides));
	const result = schema.safeParse(raw);
	return result.success
		? E.right(result.data)
		: E.left(result.error.issues.flatMap(issue => findingsOf(document, issue)));
};
