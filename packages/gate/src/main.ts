/**
The binary `poplarnotch-gate`: runs one gate and stops it on a signal. Exit codes: 0 after a complete drain or a successful `--check`, 1 if the time limit or a second signal ended the drain, 2 for invalid settings.
*/
import process from 'node:process';
import {
	createLogger, MetricsRegistry, runDaemonCommand, SystemClock, SystemRandom,
} from '@poplarnotch/common';
import {gateSettingsSchema} from './settings.js';
import {createGate} from './create-gate.js';
import {type GateProcess} from './shell/gate-process.js';

const failedExitCode = 1;

const stop = (gate: GateProcess): void => {
	void gate.drain().then(({isWhole}) => {
		process.exitCode = isWhole ? 0 : failedExitCode;
	});
};

/** Drains the gate on the first signal and exits at once on the second. */
const stopOnSignals = (gate: GateProcess): void => {
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			if (gate.isDraining) {
				process.exit(failedExitCode);
			}

			stop(gate);
		});
	}
};

await runDaemonCommand({
	name: 'poplarnotch-gate',
	schema: gateSettingsSchema,
	async run(settings) {
		const gate = createGate(settings, {
			clock: new SystemClock(),
			random: new SystemRandom(),
			metrics: new MetricsRegistry(),
			log: createLogger(settings.process.id, settings.log.level),
		});
		stopOnSignals(gate);
		gate.onReplaced(() => {
			stop(gate);
		});
		await gate.start();
	},
}, process.argv.slice(2));
