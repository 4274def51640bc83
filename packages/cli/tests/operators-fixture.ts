/**
Starts a platform stand-in with two controllers on loopback sockets, and runs commands against them.
*/
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {vi} from 'vitest';
import {issueKey, silentLogger, SystemClock} from '@poplarnotch/common';
import {ControllerProcess, controllerSettingsSchema} from '@poplarnotch/controller';
import {PlatformStandIn} from '@poplarnotch/standin';
import {type ExitCode, runCli} from '../src/index.js';

/** The output and the exit code of a command. */
export type CommandResult = {
	readonly exitCode: ExitCode;
	readonly result: string;
	readonly progress: string;
};

const rootKey = issueKey('root');

/** Proxy in front of a controller. It runs an action before it forwards a change, and drops the response to the next change if `dropsNextResponse` is set. */
export class ResponseDroppingProxy {
	dropsNextResponse = false;
	readonly #target: string;
	readonly #beforeChange: () => Promise<unknown>;
	readonly #server = createServer((request, response) => {
		void this.#forward(request, response);
	});

	constructor(target: string, beforeChange: () => Promise<unknown> = async () => undefined) {
		this.#target = target;
		this.#beforeChange = beforeChange;
	}

	async listen(): Promise<string> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async close(): Promise<void> {
		this.#server.closeAllConnections();
		this.#server.close();
		await once(this.#server, 'close');
	}

	async #forward(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await text(request);
		const isChange = request.method === 'POST';
		if (isChange) {
			await this.#beforeChange();
		}

		const forwarded = await fetch(new URL(request.url ?? '/', this.#target), {
			method: request.method ?? 'GET',
			headers: {authorization: request.headers.authorization ?? ''},
			...(isChange ? {body} : {}),
		});
		const responseText = await forwarded.text();
		if (isChange && this.dropsNextResponse) {
			this.dropsNextResponse = false;
			response.destroy();
		} else {
			response.writeHead(forwarded.status, {'content-type': 'application/json'}).end(responseText);
		}
	}
}

/** Two controllers on a platform stand-in, and the command line that uses them. */
export class OperatorsFixture {
	readonly platform = new PlatformStandIn();
	readonly urls: string[] = [];
	/** Contents of files for the commands, by path; other paths are read from disk. */
	readonly files = new Map<string, string>();
	readonly #controllers: ControllerProcess[] = [];

	async start(): Promise<void> {
		const platformUrl = await this.platform.start();
		for (const number of [1, 2]) {
			this.platform.hosts.put(`entry-${number}`);
			const settings = controllerSettingsSchema.parse({
				process: {id: `controller-${number}`, host: `entry-${number}`, dataCentre: 'dc-1'},
				listen: {operatorsPort: 0, operationsPort: 0},
				platform: {url: platformUrl},
				operators: {rootKeyHash: rootKey.secretHash},
				peers: {secret: 'shared-by-all-processes', seeds: ''},
				log: {},
			});
			const controller = new ControllerProcess(settings, new SystemClock(), silentLogger);
			const {operatorsPort} = await controller.start();
			this.#controllers.push(controller);
			this.urls.push(`http://127.0.0.1:${operatorsPort}`);
		}

		await vi.waitFor(async () => {
			for (const url of this.urls) {
				const {processes} = await this.json<{processes: readonly unknown[]}>('status', '--server', url);
				if (processes.length !== 2) {
					throw new Error(`${url} knows ${processes.length} processes`);
				}
			}
		}, {timeout: 20_000});
	}

	/** Runs a command against both controllers, unless `--server` is among the arguments. */
	async run(...args: readonly string[]): Promise<CommandResult> {
		const result: string[] = [];
		const progress: string[] = [];
		const exitCode = await runCli(args, {
			clock: new SystemClock(),
			variables: {POPLARNOTCH_SERVER: this.urls.join(','), POPLARNOTCH_KEY: rootKey.text},
			writeResult(line) {
				result.push(line);
			},
			writeProgress(line) {
				progress.push(line);
			},
			readFile: async path => this.files.get(path) ?? readFile(path, 'utf8'),
			newId: randomUUID,
		});
		return {exitCode, result: result.join('\n'), progress: progress.join('\n')};
	}

	/** Runs a command that must succeed and parses its JSON. */
	async json<Result>(...args: readonly string[]): Promise<Result> {
		const {exitCode, result, progress} = await this.run(...args, '--output', 'json');
		if (exitCode !== 0) {
			throw new Error(`${args.join(' ')}: exit code ${exitCode}: ${progress}`);
		}

		return JSON.parse(result) as Result;
	}

	async stop(): Promise<void> {
		for (const controller of this.#controllers) {
			await controller.stop();
		}

		await this.platform.close();
	}
}
