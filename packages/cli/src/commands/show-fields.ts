/**
Shows answers for which no command defines a table.
*/
import {type JsonObject} from '@poplarnotch/common';
import {type CommandContext} from '../context.js';

/** Shows the answer as a table with one row for each field, or as JSON. */
export const showFields = (context: CommandContext, answer: Readonly<Record<string, unknown>>): void => {
	const rows = Object.entries(answer as JsonObject).map(([field, value]) => ({field, value}));
	context.output.show(['field', 'value'], rows, answer);
};
