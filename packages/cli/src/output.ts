/**
Renders results as tables for people or as JSON for programs.
*/
import {type JsonValue} from '@poplarnotch/common';

export const outputFormats = ['table', 'json'] as const;
export type OutputFormat = typeof outputFormats[number];

/** One row of a table, by column. */
export type TableRow = Readonly<Record<string, JsonValue | undefined>>;

const textOf = (value: JsonValue | undefined): string => {
	if (value === undefined || value === null) {
		return '';
	}

	if (Array.isArray(value) && value.every(element => typeof element === 'string')) {
		return value.join(',');
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
};

/** Renders a header line and one line for each row, with aligned columns. */
export const renderTable = (columns: readonly string[], rows: readonly TableRow[]): string => {
	const cells = [columns, ...rows.map(row => columns.map(column => textOf(row[column])))];
	const widths = columns.map((_column, index) => Math.max(...cells.map(line => line[index]!.length)));
	return cells
		.map(line => line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd())
		.join('\n');
};

/** One of several tables of a result. */
export type TableSection = {
	readonly title: string;
	readonly columns: readonly string[];
	readonly rows: readonly TableRow[];
};

/** Output of a command. */
export interface CommandOutput {
	/** Shows rows as a table, or `json` in JSON format. */
	show(columns: readonly string[], rows: readonly TableRow[], json: unknown): void;
	/** Shows several tables under their titles, or `json` in JSON format. */
	showSections(sections: readonly TableSection[], json: unknown): void;
	/** Shows text that is the result itself, such as an INI file. */
	text(text: string): void;
	/** Reports progress; never part of the result. */
	progress(text: string): void;
}

/** Writes one line of text. */
export type WriteLine = (line: string) => void;

/** Writes results to one stream and progress to another. */
export class FormattedOutput implements CommandOutput {
	readonly #format: OutputFormat;
	readonly #writeResult: WriteLine;
	readonly #writeProgress: WriteLine;

	constructor(format: OutputFormat, writeResult: WriteLine, writeProgress: WriteLine) {
		this.#format = format;
		this.#writeResult = writeResult;
		this.#writeProgress = writeProgress;
	}

	show(columns: readonly string[], rows: readonly TableRow[], json: unknown): void {
		this.#writeResult(this.#format === 'json' ? JSON.stringify(json, undefined, 2) : renderTable(columns, rows));
	}

	showSections(sections: readonly TableSection[], json: unknown): void {
		if (this.#format === 'json') {
			this.#writeResult(JSON.stringify(json, undefined, 2));
			return;
		}

		const tables = sections.map(({title, columns, rows}) => `${title}\n${renderTable(columns, rows)}`);
		this.#writeResult(tables.join('\n\n'));
	}

	text(text: string): void {
		this.#writeResult(text);
	}

	progress(text: string): void {
		this.#writeProgress(text);
	}
}
