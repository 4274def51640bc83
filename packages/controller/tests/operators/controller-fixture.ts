/**
Starts controllers and a platform stand-in on loopback sockets, and sends requests to a controller's operators' interface.
*/
import {
	issueKey, type JsonObject, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {PlatformStandIn} from '@poplarnotch/standin';
import {ControllerProcess, controllerSettingsSchema} from '../../src/index.js';

const rootKey = issueKey('root');

const peersSecret = 'shared-by-all-processes';

/** A response of the operators' interface. */
export type CallResponse = {
	readonly status: number;
	readonly body: Readonly<Record<string, unknown>>;
};

/** A running controller. */
export type RunningController = {
	readonly process: ControllerProcess;
	readonly url: string;
	readonly operationsUrl: string;
	call(method: 'GET' | 'POST', path: string, body?: JsonObject, key?: string): Promise<CallResponse>;
};

/** Starts a platform stand-in. */
export const startPlatform = async (): Promise<{readonly platform: PlatformStandIn; readonly platformUrl: string}> => {
	const platform = new PlatformStandIn();
	return {platform, platformUrl: await platform.start()};
};

/** Starts a controller on ports that the system chooses. */
export const startController = async (platformUrl: string, id: string, seeds = ''): Promise<RunningController> => {
	const settings = controllerSettingsSchema.parse({
		process: {id, host: `${id}-host`, dataCentre: 'dc-1'},
		listen: {operatorsPort: 0, operationsPort: 0},
		platform: {url: platformUrl},
		operators: {rootKeyHash: rootKey.secretHash},
		peers: {secret: peersSecret, seeds},
		log: {},
	});
	const process = new ControllerProcess(settings, new SystemClock(), silentLogger);
	const {operatorsPort, operationsPort} = await process.start();
	const url = `http://127.0.0.1:${operatorsPort}`;
	return {
		process,
		url,
		operationsUrl: `http://127.0.0.1:${operationsPort}`,
		async call(method, path, body, key = rootKey.text) {
			const response = await fetch(new URL(path, url), {
				method,
				headers: {authorization: `Bearer ${key}`},
				...(body === undefined ? {} : {body: JSON.stringify(body)}),
			});
			return {status: response.status, body: await response.json() as CallResponse['body']};
		},
	};
};
