/**
The binary `poplarnotch-controller`. Exit codes: 0 after a graceful stop or a passed `--check`, 1 if the start or the stop failed, 2 for invalid settings.
*/
import process from 'node:process';
import {createLogger, runDaemonCommand, SystemClock} from '@poplarnotch/common';
import {type ControllerSettings, controllerSettingsSchema} from './settings.js';
import {ControllerProcess} from './shell/controller-process.js';

const failedExitCode = 1;

const run = async (settings: ControllerSettings): Promise<void> => {
	const controller = new ControllerProcess(settings, new SystemClock(), createLogger(settings.process.id, settings.log.level));
	const stop = async (): Promise<void> => {
		const failures = await controller.stop();
		process.exitCode = failures.length === 0 ? 0 : failedExitCode;
	};

	controller.onReplaced(() => {
		void stop();
	});
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void stop();
		});
	}

	try {
		await controller.start();
	} catch (error) {
		console.error(`poplarnotch-controller: ${error instanceof Error ? error.message : String(error)}`);
		await controller.stop();
		process.exitCode = failedExitCode;
	}
};

await runDaemonCommand({name: 'poplarnotch-controller', schema: controllerSettingsSchema, run}, process.argv.slice(2));
