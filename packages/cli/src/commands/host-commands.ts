/**
Commands for a single host: `host move`.
*/
import {type Command, requiredText} from '../command.js';
import {RequestRefusedError} from '../errors.js';
import {changeSettings, readSettings} from '../settings-requests.js';

export const hostMoveCommand: Command = {
	usage: 'move <host> <pool>',
	summary: 'Move a host to another pool; it is drained first',
	async run(context, args) {
		const host = requiredText(args, 'host');
		const pool = requiredText(args, 'pool');
		const base = `/hosts/${host}`;
		const {tree, revision} = await readSettings(context, `${base}/`);
		const currentPool = tree.get(`${base}/pool`);
		if (currentPool === undefined) {
			throw new RequestRefusedError(`host "${host}" does not exist`);
		}

		if (currentPool === pool && !tree.has(`${base}/targetPool`)) {
			throw new RequestRefusedError(`host "${host}" is in pool "${pool}" already`);
		}

		await changeSettings(context, [{path: `${base}/targetPool`, value: pool}], revision);
	},
};
