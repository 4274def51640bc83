/**
Parses INI text with the `ini` library and records the line of each section and key, so that findings can name it.
*/
import {parse} from 'ini';

/** A parsed INI file. */
export type IniDocument = {
	readonly fileName: string;
	/** The value of each key by section; keys before the first section are under ''. */
	readonly sections: ReadonlyMap<string, ReadonlyMap<string, string>>;
	/** Line numbers, from 1. */
	readonly lines: IniLines;
};

/** Line numbers of sections and keys. */
export class IniLines {
	static #keyOf(section: string, key: string | undefined): string {
		return JSON.stringify([section, key]);
	}

	readonly #lines = new Map<string, number>();

	add(section: string, key: string | undefined, line: number): void {
		this.#lines.set(IniLines.#keyOf(section, key), line);
	}

	/** Returns the line of the key; if it is unknown, that of its section; if that is unknown too, 1. */
	lineOf(section: string, key?: string): number {
		return this.#lines.get(IniLines.#keyOf(section, key))
			?? this.#lines.get(IniLines.#keyOf(section, undefined))
			?? 1;
	}
}

const sectionPattern = /^\[(?<section>[^\]]+)\]$/v;
const keyPattern = /^(?<key>[^=]+?)\s*=/v;

const findLines = (text: string): IniLines => {
	const lines = new IniLines();
	let section = '';
	for (const [index, rawLine] of text.split('\n').entries()) {
		const line = rawLine.trim();
		const sectionMatch = sectionPattern.exec(line);
		const keyMatch = keyPattern.exec(line);
		if (sectionMatch?.groups) {
			section = sectionMatch.groups.section!.trim();
			lines.add(section, undefined, index + 1);
		} else if (keyMatch?.groups && !line.startsWith(';') && !line.startsWith('#')) {
			lines.add(section, keyMatch.groups.key!.trim(), index + 1);
		}
	}

	return lines;
};

const toText = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value);

const isSection = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Escapes dots in section names, because the library would otherwise treat them as nesting. */
const escapeSectionDots = (text: string): string =>
	text.replaceAll(/^\s*\[[^\]]+\]\s*$/gmv, header => header.replaceAll('.', String.raw`\.`));

/** Parses INI text. */
export const parseIni = (text: string, fileName: string): IniDocument => {
	const parsed = parse(escapeSectionDots(text)) as Record<string, unknown>;
	const sections = new Map<string, Map<string, string>>();
	const addKey = (section: string, key: string, value: unknown): void => {
		const keys = sections.get(section) ?? new Map<string, string>();
		keys.set(key, toText(value));
		sections.set(section, keys);
	};

	for (const [name, value] of Object.entries(parsed)) {
		if (isSection(value)) {
			sections.set(name, sections.get(name) ?? new Map<string, string>());
			for (const [key, field] of Object.entries(value)) {
				addKey(name, key, field);
			}
		} else {
			addKey('', name, value);
		}
	}

	return {fileName, sections, lines: findLines(text)};
};

/** Returns the place of a section or key as `file:line`. */
export const placeInIni = (document: IniDocument, section: string, key?: string): string =>
	`${document.fileName}:${document.lines.lineOf(section, key)}`;
