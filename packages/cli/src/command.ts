/**
The interface of a command, and access to its arguments. Commands are registered in `commands/index.ts`.
*/
import {type Argv} from 'yargs';
import {type CommandContext} from './context.js';

/** Arguments as parsed by yargs; each command reads the ones it declared. */
export type CommandArguments = Readonly<Record<string, unknown>>;

/** One command. */
export type Command = {
	/** Name and positional arguments in yargs' notation, such as `set <path> <value>`. */
	readonly usage: string;
	readonly summary: string;
	/** True for the command that a group runs if none of its commands is named. */
	readonly isDefault?: true;
	/** Declares further options. */
	declare?(yargs: Argv): Argv;
	run(context: CommandContext, args: CommandArguments): Promise<void>;
};

/** Returns a text argument that yargs requires, so that it is always present. */
export const requiredText = (args: CommandArguments, name: string): string => `${args[name] as string | number}`;

/** Returns an optional text argument; `undefined` if it was left out. */
export const optionalText = (args: CommandArguments, name: string): string | undefined =>
	args[name] === undefined ? undefined : requiredText(args, name);

/** Returns an optional number argument; `undefined` if it was left out. */
export const optionalNumber = (args: CommandArguments, name: string): number | undefined =>
	args[name] === undefined ? undefined : Number(args[name]);
