/**
Builds the command-line parser from the registered commands and runs one command.
*/
import yargs, {type Argv} from 'yargs';
import {type Clock, PoplarnotchError} from '@poplarnotch/common';
import {type Command, type CommandArguments} from './command.js';
import {commandEntries, type CommandEntry, isCommandGroup} from './commands/index.js';
import {type CommandContext} from './context.js';
import {CommandError, FindingsError} from './errors.js';
import {type ExitCode, exitCodes} from './exit-codes.js';
import {OperatorsClient} from './operators-client.js';
import {
	FormattedOutput, type OutputFormat, outputFormats, type WriteLine,
} from './output.js';

/** Environment of the command line, which tests replace. */
export type CliEnvironment = {
	readonly clock: Clock;
	readonly variables: Readonly<Record<string, string | undefined>>;
	readonly writeResult: WriteLine;
	readonly writeProgress: WriteLine;
	readFile(path: string): Promise<string>;
	newId(): string;
};

/** Default of `--wait-timeout-ms`: how long commands wait for a change to be in force. */
const defaultWaitTimeoutMs = 10_000;

const defaultServer = 'http://127.0.0.1:7200';

const exitCodeHelp = [
	'Exit codes: 0 done; 1 refused or not found; 2 wrong command line or file, with findings;',
	'3 conflict with another change; 4 no controller reachable; 5 accepted, not yet in force everywhere.',
	'Environment: POPLARNOTCH_SERVER (URLs separated by commas), POPLARNOTCH_KEY.',
].join('\n');

type CommonOptions = {
	readonly server: string;
	readonly key: string;
	readonly output: OutputFormat;
	readonly reason: string;
	readonly dryRun: boolean;
	readonly wait: boolean;
	readonly waitTimeoutMs: number;
};

const declareCommonOptions = (parser: Argv, environment: CliEnvironment): Argv => parser
	.option('server', {
		type: 'string',
		default: environment.variables.POPLARNOTCH_SERVER ?? defaultServer,
		describe: 'Controllers\' operators\' URLs, separated by commas',
	})
	.option('key', {
		type: 'string',
		default: environment.variables.POPLARNOTCH_KEY ?? '',
		defaultDescription: '$POPLARNOTCH_KEY',
		describe: 'The operator\'s key',
	})
	.option('output', {choices: outputFormats, default: 'table', describe: 'Format of the result'})
	.option('reason', {type: 'string', default: '', describe: 'Why the change is made; kept in the history'})
	.option('dry-run', {type: 'boolean', default: false, describe: 'Check and show the change without making it'})
	.option('wait', {type: 'boolean', default: true, describe: 'Wait until the change is in force everywhere'})
	.option('wait-timeout-ms', {type: 'number', default: defaultWaitTimeoutMs, describe: 'Longest wait'});

const createContext = (args: CommonOptions, environment: CliEnvironment): CommandContext => ({
	client: new OperatorsClient(args.server.split(',').map(server => server.trim()), args.key),
	output: new FormattedOutput(args.output, environment.writeResult, environment.writeProgress),
	clock: environment.clock,
	change: {
		reason: args.reason,
		dryRun: args.dryRun,
		wait: args.wait,
		waitTimeoutMs: args.waitTimeoutMs,
	},
	async readFile(path) {
		try {
			return await environment.readFile(path);
		} catch (error) {
			throw new FindingsError([{place: path, code: 'file-not-readable', message: error instanceof Error ? error.message : String(error)}]);
		}
	},
	newId: () => environment.newId(),
});

const addCommand = (parser: Argv, command: Command, environment: CliEnvironment): Argv => parser.command(
	command.isDefault === true ? [command.usage, '$0'] : command.usage,
	command.summary,
	builder => command.declare?.(builder) ?? builder,
	async args => {
		const parsed = args as unknown as CommandArguments & CommonOptions;
		await command.run(createContext(parsed, environment), parsed);
	},
);

const addEntry = (parser: Argv, entry: CommandEntry, environment: CliEnvironment): Argv => {
	if (!isCommandGroup(entry)) {
		return addCommand(parser, entry, environment);
	}

	return parser.command(
		entry.group,
		entry.summary,
		group => {
			let builder = group;
			for (const command of entry.commands) {
				builder = addCommand(builder, command, environment);
			}

			return entry.commands.some(command => command.isDefault) ? builder : builder.demandCommand(1, `name one of: ${entry.commands.map(command => command.usage.split(' ', 1)[0]).join(', ')}`);
		},
	);
};

const buildParser = (environment: CliEnvironment): Argv => {
	let parser: Argv = declareCommonOptions(yargs().scriptName('poplarnotch'), environment);
	for (const entry of commandEntries) {
		parser = addEntry(parser, entry, environment);
	}

	return parser
		.completion('completion', 'Print a completion script for the shell')
		.demandCommand(1, 'name a command')
		.strict()
		.wrap(null)
		.epilogue(exitCodeHelp)
		.exitProcess(false);
};

class UsageError extends CommandError {
	override readonly code = 'usage';
	override readonly exitCode = exitCodes.usage;
}

const exitCodeOf = (error: unknown): ExitCode => error instanceof CommandError ? error.exitCode : exitCodes.refused;

/** Runs one command and resolves to its exit code. Errors are printed, never thrown. */
export const runCli = async (args: readonly string[], environment: CliEnvironment): Promise<ExitCode> => {
	const parser = buildParser(environment).fail((message, error) => {
		throw error ?? new UsageError(`${message}\nSee poplarnotch --help.`);
	});
	try {
		await parser.parseAsync(args, {}, (_error, _args, text) => {
			if (text !== '') {
				environment.writeResult(text);
			}
		});
		return exitCodes.ok;
	} catch (error) {
		const label = error instanceof PoplarnotchError ? error.code : 'failed';
		environment.writeProgress(`${label}: ${error instanceof Error ? error.message : String(error)}`);
		return exitCodeOf(error);
	}
};
