/**
The context of a command: the client, the output and the options that all commands share.
*/
import {type Clock} from '@poplarnotch/common';
import {type OperatorsClient} from './operators-client.js';
import {type CommandOutput} from './output.js';

/** Options of every command that changes settings. */
export type ChangeOptions = {
	readonly reason: string;
	readonly dryRun: boolean;
	/** Whether to wait until the change is in force on every live process. */
	readonly wait: boolean;
	readonly waitTimeoutMs: number;
};

/** Passed to every command. */
export type CommandContext = {
	readonly client: OperatorsClient;
	readonly output: CommandOutput;
	readonly clock: Clock;
	readonly change: ChangeOptions;
	readFile(path: string): Promise<string>;
	newId(): string;
};
