/**
The command line of a daemon: `--settings FILE.ini [--set section.key=value …] [--check]`. All findings are printed together, each with its file and line.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import * as E from 'fp-ts/lib/Either.js';
import yargs from 'yargs';
import {type Checked, type Finding, formatFinding} from './findings.js';
import {
	parseOverride, readProcessSettings, type SettingsOverride, type SettingsSchema,
} from './process-settings.js';
import {type z} from './schema.js';

/** Exit code for invalid settings. */
const invalidSettingsExitCode = 2;

/** Name, settings schema and start function of a daemon. */
export type DaemonCommand<Schema extends SettingsSchema> = {
	readonly name: string;
	readonly schema: Schema;
	/** Starts the daemon, which handles its own termination. */
	run(settings: z.infer<Schema>): Promise<void>;
};

type Arguments = {
	readonly settings: string;
	readonly set: readonly string[];
	readonly check: boolean;
};

const parseArguments = async (name: string, args: readonly string[]): Promise<Arguments> => yargs(args)
	.scriptName(name)
	.usage('$0 --settings FILE.ini [--set section.key=value …] [--check]')
	.option('settings', {type: 'string', demandOption: true, describe: 'INI file with the settings of this process'})
	.option('set', {
		type: 'string', array: true, default: [] as string[], describe: 'Override one setting: section.key=value',
	})
	.option('check', {type: 'boolean', default: false, describe: 'Check the settings and exit'})
	.strict()
	.version(false)
	.parseAsync();

const readText = (fileName: string): Checked<string> => {
	try {
		return E.right(readFileSync(fileName, 'utf8'));
	} catch (error) {
		return E.left([{place: fileName, code: 'file-not-readable', message: (error as Error).message}]);
	}
};

const findingsOf = (checked: Checked<unknown>): readonly Finding[] => E.isLeft(checked) ? checked.left : [];

const readSettings = <Schema extends SettingsSchema>(schema: Schema, args: Arguments): Checked<z.infer<Schema>> => {
	const text = readText(args.settings);
	const parsed = args.set.map(parseOverride);
	const overrides = parsed.flatMap((override): readonly SettingsOverride[] => E.isRight(override) ? [override.right] : []);
	const settings = E.isLeft(text) ? text : readProcessSettings(schema, text.right, args.settings, overrides);
	const overrideFindings = parsed.flatMap(findingsOf);
	return overrideFindings.length === 0 ? settings : E.left([...overrideFindings, ...findingsOf(settings)]);
};

/** Runs the command. Invalid settings set the exit code 2; if the daemon fails to start, the promise rejects. */
export const runDaemonCommand = async <Schema extends SettingsSchema>(command: DaemonCommand<Schema>, args: readonly string[]): Promise<void> => {
	const parsed = await parseArguments(command.name, args);
	const settings = readSettings(command.schema, parsed);
	if (E.isLeft(settings)) {
		console.error(settings.left.map(formatFinding).join('\n'));
		process.exitCode = invalidSettingsExitCode;
		return;
	}

	if (parsed.check) {
		console.log(`${parsed.settings}: ok`);
		return;
	}

	await command.run(settings.right);
};
