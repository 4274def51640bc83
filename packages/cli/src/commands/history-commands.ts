/**
Commands for past changes: `history` and `rollback`.
*/
import {type Change, historyResponseSchema} from '../api-types.js';
import {type Command, optionalNumber, requiredText} from '../command.js';
import {type TableRow} from '../output.js';
import {sendChange} from '../settings-requests.js';

const defaultHistoryLength = 20;

const toRow = (change: Change): TableRow => ({
	revision: change.revision,
	accepted: new Date(change.acceptedAtMs).toISOString(),
	author: change.author,
	settings: change.edits.length,
	reason: change.reason,
});

export const historyCommand: Command = {
	usage: 'history',
	summary: 'List accepted changes',
	declare: yargs => yargs
		.option('after', {type: 'number', default: 0, describe: 'Only changes after this revision'})
		.option('limit', {type: 'number', default: defaultHistoryLength, describe: 'Most changes listed'}),
	async run(context, args) {
		const after = optionalNumber(args, 'after') ?? 0;
		const limit = optionalNumber(args, 'limit') ?? defaultHistoryLength;
		const response = await context.client.call(historyResponseSchema, {
			method: 'GET',
			path: `/v1/changes?after=${after}&limit=${limit}`,
		});
		context.output.show(['revision', 'accepted', 'author', 'settings', 'reason'], response.changes.map(toRow), response);
	},
};

export const rollbackCommand: Command = {
	usage: 'rollback <revision>',
	summary: 'Bring the settings back to those of a revision, as a new revision',
	async run(context, args) {
		await sendChange(context, '/v1/rollback', {toRevision: Number(requiredText(args, 'revision'))});
	},
};
