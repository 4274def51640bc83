/**
Commands for the whole fleet and for single processes: `status` and `dump`.
*/
import {type JsonValue} from '@poplarnotch/common';
import {anyResponseSchema, statusResponseSchema} from '../api-types.js';
import {type Command, requiredText} from '../command.js';
import {type TableRow, type TableSection} from '../output.js';

type Overview = Readonly<Record<string, Readonly<Record<string, JsonValue>>>>;

const rowsByName = (overview: Overview): readonly TableRow[] =>
	Object.entries(overview).map(([name, fields]) => ({name, ...fields}));

const toSection = (title: string, rows: readonly TableRow[]): TableSection => ({
	title,
	columns: [...new Set(rows.flatMap(row => Object.keys(row)))],
	rows,
});

export const statusCommand: Command = {
	usage: 'status',
	summary: 'Show processes with their revisions, teams, pools and waves',
	async run(context) {
		const status = await context.client.call(statusResponseSchema, {method: 'GET', path: '/v1/status'});
		context.output.progress(`revision ${status.revision}`);
		context.output.showSections([
			toSection('processes', status.processes),
			toSection('teams', rowsByName(status.teams)),
			toSection('pools', rowsByName(status.pools)),
			toSection('waves', rowsByName(status.waves)),
		], status);
	},
};

export const dumpCommand: Command = {
	usage: 'dump <process>',
	summary: 'Print the whole state of one process as JSON',
	async run(context, args) {
		const processId = encodeURIComponent(requiredText(args, 'process'));
		const dump = await context.client.call(anyResponseSchema, {method: 'GET', path: `/v1/processes/${processId}/dump`});
		context.output.text(JSON.stringify(dump, undefined, 2));
	},
};
