/**
The registry of commands.
*/
import {type Command} from '../command.js';
import {
	hostListCommand, poolCommand, queueCommand, teamCommand,
} from './entity-commands.js';
import {applyCommand, checkCommand, exportCommand} from './file-commands.js';
import {historyCommand, rollbackCommand} from './history-commands.js';
import {hostMoveCommand} from './host-commands.js';
import {keyIssueCommand, keyListCommand, keyWithdrawCommand} from './key-commands.js';
import {dumpCommand, statusCommand} from './process-commands.js';
import {
	getCommand, setCommand, treeCommand, unsetCommand,
} from './settings-commands.js';
import {
	waveAbortCommand, waveCreateCommand, wavePauseCommand, wavePlanCommand, waveResumeCommand, waveStartCommand, waveStatusCommand,
} from './wave-commands.js';

/** A single command, or a group of commands. */
export type CommandEntry = Command | CommandGroup;

/** Commands with a common first word, such as `key issue` and `key list`. */
export type CommandGroup = {
	readonly group: string;
	readonly summary: string;
	readonly commands: readonly Command[];
};

/** Whether the entry is a group and not a single command. */
export const isCommandGroup = (entry: CommandEntry): entry is CommandGroup => 'group' in entry;

export const commandEntries: readonly CommandEntry[] = [
	getCommand,
	setCommand,
	unsetCommand,
	treeCommand,
	applyCommand,
	exportCommand,
	checkCommand,
	historyCommand,
	rollbackCommand,
	teamCommand,
	poolCommand,
	queueCommand,
	{
		group: 'host',
		summary: 'List hosts, or move one to another pool',
		commands: [hostListCommand, hostMoveCommand],
	},
	{
		group: 'key',
		summary: 'Issue, withdraw and list teams\' keys',
		commands: [keyIssueCommand, keyWithdrawCommand, keyListCommand],
	},
	{
		group: 'wave',
		summary: 'Plan and control maintenance waves',
		commands: [
			waveCreateCommand,
			wavePlanCommand,
			waveStartCommand,
			wavePauseCommand,
			waveResumeCommand,
			waveAbortCommand,
			waveStatusCommand,
		],
	},
	statusCommand,
	dumpCommand,
];
