/**
Entry point of the binary `poplarnotch-standin`, which runs the platform stand-in or backend-server stand-ins as a process, for tests, the demo and manual trials.
*/
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {
	createLogger, emptyFleetSettings, LifecycleManager, type Logger, PoplarnotchError, SystemClock,
} from '@poplarnotch/common';
import {BackendPool, type BackendServerOptions} from './backends/backend-pool.js';
import {backendServersOf, readFleetFile} from './fleet-file.js';
import {PlatformStandIn} from './platform/platform-stand-in.js';

type PlatformArguments = {
	readonly port: number;
	readonly hosts: string | undefined;
	readonly host: readonly string[];
};

type BackendsArguments = {
	readonly platform: string | undefined;
	readonly config: string | undefined;
	readonly server: readonly string[];
};

const log: Logger = createLogger('standin');
const lifecycle = new LifecycleManager(new SystemClock());

const runPlatform = async ({port, hosts, host}: PlatformArguments): Promise<void> => {
	const platform = new PlatformStandIn();
	const fleet = hosts === undefined ? emptyFleetSettings : await readFleetFile(hosts);
	for (const name of [...fleet.hosts.keys(), ...host]) {
		platform.hosts.put(name);
	}

	const url = await platform.start(port);
	lifecycle.own('platform', async () => platform.close());
	log.info({event: 'platform_started', url, hosts: platform.hosts.current.length});
};

const serverFromText = (text: string): BackendServerOptions => {
	const [host = '', port = '0'] = text.split('=');
	return {host, port: Number(port)};
};

const runBackends = async ({platform, config, server}: BackendsArguments): Promise<void> => {
	const configured = config === undefined ? [] : backendServersOf(await readFleetFile(config));
	const pool = new BackendPool([...configured, ...server.map(serverFromText)], platform);
	const urls = await pool.start();
	lifecycle.own('backends', async () => pool.close());
	for (const [host, url] of urls) {
		log.info({event: 'backend_started', host, url});
	}

	log.info({event: 'backends_started', servers: urls.size});
};

const stop = async (): Promise<void> => {
	const failures = await lifecycle.releaseAll();
	process.exitCode = failures.length === 0 ? 0 : 1;
};

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void stop();
	});
}

try {
	await yargs(hideBin(process.argv))
		.scriptName('poplarnotch-standin')
		.command(
			'platform',
			'Serve the platform: table service, object store, host list, workers',
			command => command
				.option('port', {type: 'number', default: 0, describe: 'Port on 127.0.0.1; 0 lets the system choose'})
				.option('hosts', {type: 'string', describe: 'Fleet settings in INI whose hosts the host list shows'})
				.option('host', {
					type: 'string', array: true, default: [], describe: 'A further host of the list, such as an entry host',
				}),
			async options => runPlatform(options),
		)
		.command(
			'backends',
			'Serve backend servers, all in this process',
			command => command
				.option('platform', {type: 'string', describe: 'URL of the platform stand-in, which sets faults and reboots'})
				.option('config', {type: 'string', describe: 'Fleet settings in INI; each host is served at its address'})
				.option('server', {
					type: 'string', array: true, default: [], describe: 'A further server, HOST=PORT',
				}),
			async options => runBackends(options),
		)
		.demandCommand(1)
		.strict()
		.parseAsync();
} catch (error) {
	const code = error instanceof PoplarnotchError ? error.code : 'unexpected';
	log.error({event: 'start_failed', code, reason: String(error)});
	await stop();
	process.exitCode = 2;
}
