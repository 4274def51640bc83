/**
Commands for single settings: `get`, `set`, `unset` and `tree`.
*/
import {settingFromText, type SettingsTree} from '@poplarnotch/common';
import {type Command, optionalText, requiredText} from '../command.js';
import {RequestRefusedError} from '../errors.js';
import {type TableRow} from '../output.js';
import {changeSettings, readSettings} from '../settings-requests.js';

const toRows = (tree: SettingsTree): readonly TableRow[] =>
	[...tree].map(([path, value]) => ({path, value}));

export const getCommand: Command = {
	usage: 'get <path>',
	summary: 'Show one setting',
	async run(context, args) {
		const path = requiredText(args, 'path');
		const {tree, revision} = await readSettings(context, path);
		const value = tree.get(path);
		if (value === undefined) {
			throw new RequestRefusedError(`"${path}" is not set`);
		}

		context.output.show(['path', 'value'], [{path, value}], {revision, path, value});
	},
};

export const treeCommand: Command = {
	usage: 'tree [prefix]',
	summary: 'Show all settings under a path',
	async run(context, args) {
		const {tree, revision} = await readSettings(context, optionalText(args, 'prefix'));
		context.output.show(['path', 'value'], toRows(tree), {revision, settings: Object.fromEntries(tree)});
	},
};

export const setCommand: Command = {
	usage: 'set <path> <value>',
	summary: 'Change one setting',
	async run(context, args) {
		const path = requiredText(args, 'path');
		const {revision} = await readSettings(context, path);
		await changeSettings(context, [{path, value: settingFromText(path, requiredText(args, 'value'))}], revision);
	},
};

export const unsetCommand: Command = {
	usage: 'unset <path>',
	summary: 'Remove one setting, or all settings under a path that ends in "/"',
	async run(context, args) {
		const path = requiredText(args, 'path');
		const {tree, revision} = await readSettings(context, path);
		const paths = [...tree.keys()].filter(candidate => path.endsWith('/') || candidate === path);
		if (paths.length === 0) {
			throw new RequestRefusedError(`"${path}" is not set`);
		}

		await changeSettings(context, paths.map(removed => ({path: removed, value: undefined})), revision);
	},
};
