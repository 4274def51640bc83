/**
The binary `poplarnotch-entry`: runs the process of one entry host. The path of its settings file is in `POPLARNOTCH_CONFIG`. Exit codes: 0 after a stop by signal, 1 after an unexpected error, 2 for invalid settings.
*/
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import * as E from 'fp-ts/lib/Either.js';
import {
	BoundedOutput, createLogger, formatFinding, MetricsRegistry, SystemClock, writeToDescriptor,
} from '@poplarnotch/common';
import {readHostSettings} from '@poplarnotch/platform-adapter';
import {orderPolicyNames, poolForecastNames} from '@poplarnotch/scheduler';
import yargs from 'yargs';
import {EntryProcess} from './entry-process.js';

const invalidSettingsExitCode = 2;
const unexpectedErrorExitCode = 1;

/** Time for the last log lines to be written. */
const logFlushMs = 100;

/** Time for which a log line waits for further lines, so that they share a write. */
const logGroupMs = 5;
const defaultMetricsPort = 9464;

const defaultFailureDetectionMs = 600;

/** A holder that pauses for up to 400 ms does not check whether it was replaced, so it must not be suspected earlier, with an interval of heartbeats as margin. */
const minFailureDetectionMs = 550;

const {metricsPort, poolForecast, admission, orderPolicy, outageScheduling, failureDetectionMs} = await yargs(process.argv.slice(2))
	.scriptName('poplarnotch-entry')
	.option('metricsPort', {type: 'number', default: defaultMetricsPort, describe: 'Port that serves /metrics and /dump'})
	.option('admission', {choices: ['on', 'off'] as const, default: 'off' as const, describe: 'Whether jobs that would be too late to be of use are refused'})
	.option('orderPolicy', {choices: orderPolicyNames, default: orderPolicyNames[0], describe: 'Order in which waiting steps are offered capacity'})
	.option('outageScheduling', {choices: ['on', 'off'] as const, default: 'on', describe: 'Whether the lease holder goes on scheduling stored jobs while no process reaches the store'})
	.option('failureDetectionMs', {type: 'number', default: defaultFailureDetectionMs, describe: 'Silence after which the lease holder is suspected; 0 waits for the end of its lease'})
	.option('poolForecast', {choices: poolForecastNames, default: 'bursts' as const, describe: 'How the demand of pools is forecast'})
	.check(({failureDetectionMs: silenceMs}) => silenceMs === 0 || silenceMs >= minFailureDetectionMs || `failureDetectionMs must be 0 or at least ${minFailureDetectionMs}`)
	.strict()
	.parse();

const fileName = process.env.POPLARNOTCH_CONFIG ?? '/etc/poplarnotch/boot.conf';
const settings = readHostSettings(await readFile(fileName, 'utf8'), fileName);
if (E.isLeft(settings)) {
	process.stderr.write(`${settings.left.map(formatFinding).join('\n')}\n`);
	process.exitCode = invalidSettingsExitCode;
} else {
	const clock = new SystemClock();
	const output = new BoundedOutput(writeToDescriptor(process.stdout.fd), clock, count =>
		`time=${new Date().toISOString()} level=warn process=${settings.right.host} event=log_lines_dropped lines=${count}\n`, logGroupMs);
	const log = createLogger(settings.right.host, 'info', output);
	const entry = new EntryProcess({
		settings: settings.right, metricsPort, poolForecast, admission, orderPolicy, outageScheduling: outageScheduling === 'on', failureDetectionMs, clock, log, metrics: new MetricsRegistry(),
	});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void entry.stop().then(async () => {
				// The reader of the log may have stopped.
				await Promise.race([output.flush(), sleep(logFlushMs)]);
				process.exit(0);
			});
		});
	}

	// An error that nothing expects may have ended a loop that the process needs, so the process ends as well and is started anew.
	for (const type of ['unhandledRejection', 'uncaughtException'] as const) {
		process.on(type, (error: unknown) => {
			log.error({event: 'unexpected_error', type, reason: error instanceof Error ? error.stack : String(error)});
			setTimeout(() => {
				process.exit(unexpectedErrorExitCode);
			}, logFlushMs);
		});
	}

	// Settings are not reloaded while the process runs: addresses are fixed, and operators' settings come from the store.
	process.on('SIGHUP', () => {
		log.info({event: 'settings_reload_ignored', fileName});
	});
	await entry.start();
}
