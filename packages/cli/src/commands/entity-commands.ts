/**
Commands that list the entities of one kind, one row for each: `team`, `pool`, `host list`, `queue`.
*/
import {addressOf, type JsonValue, type SettingsTree} from '@poplarnotch/common';
import {type Command, optionalText} from '../command.js';
import {RequestRefusedError} from '../errors.js';
import {readSettings} from '../settings-requests.js';

type EntityRow = Record<string, JsonValue>;

const toRows = (tree: SettingsTree, entityKind: string): readonly EntityRow[] => {
	const rows = new Map<string, EntityRow>();
	for (const [path, value] of tree) {
		const address = addressOf(path);
		if (address?.kind.name === entityKind) {
			const row = rows.get(address.name) ?? {name: address.name};
			row[address.field] = value;
			rows.set(address.name, row);
		}
	}

	return [...rows.values()];
};

const columnsOf = (rows: readonly EntityRow[]): readonly string[] =>
	[...new Set(rows.flatMap(row => Object.keys(row)))];

const createListCommand = (name: string, entityKind: string, usage = `${name} [name]`): Command => ({
	usage,
	summary: `List ${entityKind}, or show one`,
	async run(context, args) {
		const {tree, revision} = await readSettings(context, `/${entityKind}/`);
		const entity = optionalText(args, 'name');
		const rows = toRows(tree, entityKind).filter(row => entity === undefined || row.name === entity);
		if (rows.length === 0 && entity !== undefined) {
			throw new RequestRefusedError(`${name} "${entity}" does not exist`);
		}

		context.output.show(columnsOf(rows), rows, {revision, [entityKind]: rows});
	},
});

export const teamCommand = createListCommand('team', 'teams');
export const poolCommand = createListCommand('pool', 'pools');
export const queueCommand = createListCommand('queue', 'queues');

/** Also runs for `host` without a subcommand. */
export const hostListCommand: Command = {...createListCommand('host', 'hosts', 'list [name]'), isDefault: true};
