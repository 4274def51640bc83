/**
Commands for teams' keys: `key issue`, `key withdraw` and `key list`. A key's secret is shown once, when it is issued; only its hash is stored.
*/
import {issueKey, type SettingsTree} from '@poplarnotch/common';
import {type Command, optionalText, requiredText} from '../command.js';
import {RequestRefusedError} from '../errors.js';
import {changeSettings, readSettings} from '../settings-requests.js';

const keyPathPattern = /^\/teams\/(?<team>[^\/]+)\/keys\/(?<keyId>[^\/]+)\/hash$/v;

const idSuffixLength = 8;

type ListedKey = {
	readonly team: string;
	readonly keyId: string;
	readonly withdrawn: boolean;
};

const listKeys = (tree: SettingsTree): readonly ListedKey[] => [...tree.keys()].flatMap(path => {
	const groups = keyPathPattern.exec(path)?.groups;
	if (groups === undefined) {
		return [];
	}

	const {team, keyId} = groups as {team: string; keyId: string};
	return [{team, keyId, withdrawn: tree.get(`/teams/${team}/keys/${keyId}/withdrawn`) === true}];
});

export const keyIssueCommand: Command = {
	usage: 'issue <team>',
	summary: 'Issue a key for a team and show it once',
	declare: yargs => yargs.option('id', {type: 'string', describe: 'Name of the key; chosen if left out'}),
	async run(context, args) {
		const team = requiredText(args, 'team');
		const {tree, revision} = await readSettings(context, `/teams/${team}/`);
		if (tree.size === 0) {
			throw new RequestRefusedError(`team "${team}" does not exist`);
		}

		const chosenId = `${team.replaceAll('_', '-')}-${context.newId().slice(0, idSuffixLength)}`;
		const key = issueKey(optionalText(args, 'id') ?? chosenId);
		const edit = {path: `/teams/${team}/keys/${key.keyId}/hash`, value: key.secretHash};
		await changeSettings(context, [edit], revision, (_edits, accepted) => {
			if (accepted !== undefined) {
				context.output.progress('The key below is not shown again.');
				context.output.show(['key'], [{key: key.text}], {
					revision: accepted, team, keyId: key.keyId, key: key.text,
				});
			}
		});
	},
};

export const keyWithdrawCommand: Command = {
	usage: 'withdraw <keyId>',
	summary: 'Withdraw a key permanently',
	async run(context, args) {
		const keyId = requiredText(args, 'keyId');
		const {tree, revision} = await readSettings(context, '/teams/');
		const key = listKeys(tree).find(candidate => candidate.keyId === keyId);
		if (key === undefined) {
			throw new RequestRefusedError(`key "${keyId}" does not exist`);
		}

		await changeSettings(context, [{path: `/teams/${key.team}/keys/${keyId}/withdrawn`, value: true}], revision);
	},
};

export const keyListCommand: Command = {
	usage: 'list [team]',
	summary: 'List keys, without their secrets',
	async run(context, args) {
		const team = optionalText(args, 'team');
		const {tree, revision} = await readSettings(context, team === undefined ? '/teams/' : `/teams/${team}/`);
		const keys = listKeys(tree);
		context.output.show(['keyId', 'team', 'withdrawn'], keys, {revision, keys});
	},
};
