/**
Shows responses for which no command defines a table.
*/
import {type JsonObject} from '@poplarnotch/common';
import {type CommandContext} from '../context.js';

/** Shows the response as a table with one row for each field, or as JSON. */
export const showFields = (context: CommandContext, response: Readonly<Record<string, unknown>>): void => {
	const rows = Object.entries(response as JsonObject).map(([field, value]) => ({field, value}));
	context.output.show(['field', 'value'], rows, response);
};
