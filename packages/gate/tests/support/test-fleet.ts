/**
A small fleet for tests over real sockets: a platform stand-in, backend server stand-ins and gates, all in this process.
*/
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {type Dispatcher, request} from 'undici';
import {
	createLogger, issueKey, type JsonValue, MetricsRegistry, type Problem, problemContentType, readProcessSettings, type SettingsEdit, SystemClock, SystemRandom, silentLogger,
} from '@poplarnotch/common';
import {HttpTableService, HttpObjectStore, PlatformConnection} from '@poplarnotch/platform';
import {BackendPool, PlatformStandIn} from '@poplarnotch/standin';
import {TableSettingsStore} from '@poplarnotch/state';
import * as E from 'fp-ts/lib/Either.js';
import {createGate} from '../../src/create-gate.js';
import {gateSettingsSchema} from '../../src/settings.js';
import {type GateProcess} from '../../src/shell/gate-process.js';

/** A started gate with its metrics and addresses. */
export type RunningGate = {
	readonly process: GateProcess;
	readonly metrics: MetricsRegistry;
	readonly url: string;
	readonly operationsUrl: string;
};

export type TestFleetOptions = {
	readonly hosts?: number;
	/** Additional settings by path, or replacements for the default ones. */
	readonly settings?: Readonly<Record<string, JsonValue>>;
	readonly queue?: Readonly<Record<string, JsonValue>>;
};

const waitStepMs = 5;
const waitTimeoutMs = 15_000;

/** Waits until the condition holds. Throws after `waitTimeoutMs`. */
export const waitFor = async (description: string, condition: () => boolean | Promise<boolean>): Promise<void> => {
	const clock = new SystemClock();
	const untilMs = clock.nowMs() + waitTimeoutMs;
	while (!(await condition())) {
		if (clock.nowMs() > untilMs) {
			throw new Error(`Timed out waiting for: ${description}`);
		}

		await new Promise<void>(resolve => {
			clock.schedule(waitStepMs, resolve);
		});
	}
};

/** Starts a gate from settings given as `section.key=value`, and waits until it is ready. */
export const startGateWith = async (texts: readonly string[]): Promise<RunningGate> => {
	const overrides = texts.map(text => {
		const [name, ...value] = text.split('=');
		const [section, key] = name!.split('.');
		return {section: section!, key: key!, text: value.join('=')};
	});
	const settings = readProcessSettings(gateSettingsSchema, '', 'test.ini', overrides);
	if (E.isLeft(settings)) {
		throw new TypeError(JSON.stringify(settings.left));
	}

	const metrics = new MetricsRegistry();
	const gate = createGate(settings.right, {
		clock: new SystemClock(), random: new SystemRandom(), metrics, log: testLogger(),
	});
	const {port, operationsPort} = await gate.start();
	await waitFor('gate is ready', () => gate.isReady);
	return {
		process: gate, metrics, url: `http://127.0.0.1:${port}`, operationsUrl: `http://127.0.0.1:${operationsPort}`,
	};
};

/** The platform, backend servers and gates of a test. `close` stops all of them. */
export class TestFleet {
	static async start(options: TestFleetOptions = {}): Promise<TestFleet> {
		const fleet = new TestFleet(options);
		await fleet.#start();
		return fleet;
	}

	readonly platform = new PlatformStandIn({faults: {writesPerSecond: 100_000, readsPerSecond: 100_000}});
	readonly backends: BackendPool;
	readonly gates: RunningGate[] = [];
	readonly key = issueKey('red-1');
	platformUrl = '';
	#connection: PlatformConnection | undefined;
	#store: TableSettingsStore | undefined;
	#changes = 0;
	readonly #options: TestFleetOptions;

	private constructor(options: TestFleetOptions) {
		this.#options = options;
		const count = options.hosts ?? 2;
		this.backends = new BackendPool(Array.from({length: count}, (_, index) => ({host: `h${index + 1}`, port: 0})));
	}

	get authorization(): Readonly<Record<string, string>> {
		return {authorization: `Bearer ${this.key.text}`};
	}

	/** Returns how often the request with this run key ran, over all backend servers. */
	runsOf(runKey: string): number {
		return this.backends.records.reduce((sum, record) => sum + (record.runs[runKey] ?? 0), 0);
	}

	/** Commits a change of the settings by path and returns its revision; `undefined` removes a setting. */
	async change(settings: Readonly<Record<string, JsonValue | undefined>>): Promise<number> {
		this.#changes++;
		const edits: SettingsEdit[] = Object.entries(settings).map(([path, value]) => ({path, value}));
		const {revision} = await this.#store!.commitChange({
			changeId: `test-${this.#changes}`, author: 'test', reason: 'test', edits, expectedRevision: undefined, fences: [],
		});
		return revision;
	}

	/** Returns the settings of a gate of this fleet, as `section.key=value`. */
	gateSettings(id: string, overrides: readonly string[] = []): readonly string[] {
		return [
			`process.id=${id}`,
			'process.host=entry-1',
			'process.dataCentre=dc-1',
			'listen.port=0',
			'listen.operationsPort=0',
			'listen.keepAliveTimeoutMs=200',
			`platform.url=${this.platformUrl}`,
			'peers.secret=test-secret',
			'drain.lameDuckMs=0',
			'claims.callTimeoutMs=300',
			'claims.settleTimeoutMs=600',
			'claims.writesPerSecond=1000',
			'claims.writeBurst=100',
			...overrides,
		];
	}

	/** Starts a gate and waits until it is ready. */
	async startGate(id: string, overrides: readonly string[] = []): Promise<RunningGate> {
		const gate = await startGateWith(this.gateSettings(id, overrides));
		this.gates.push(gate);
		return gate;
	}

	/** Waits until every ready gate lists `count` gates in its dump. */
	async waitForMembership(count = this.gates.length): Promise<void> {
		await waitFor('gates see each other', () => this.gates.every(({process}) => {
			const {gates} = process.dump();
			return !process.isReady || (gates as readonly string[]).length === count;
		}));
	}

	async close(): Promise<void> {
		await Promise.all(this.gates.map(async gate => gate.process.kill()));
		await this.backends.close();
		await this.platform.close();
		await this.#connection?.close();
	}

	async #start(): Promise<void> {
		this.platformUrl = await this.platform.start();
		const urls = await this.backends.start();
		this.#connection = new PlatformConnection({baseUrl: this.platformUrl, clientName: 'test'});
		this.#store = new TableSettingsStore({
			table: new HttpTableService(this.#connection), objects: new HttpObjectStore(this.#connection), clock: new SystemClock(),
		});
		this.platform.hosts.put('entry-1');
		const hosts: Record<string, JsonValue> = {};
		for (const [host, url] of urls) {
			this.platform.hosts.put(host);
			Object.assign(hosts, {
				[`/hosts/${host}/pool`]: 'pairing', [`/hosts/${host}/dataCentre`]: 'dc-1', [`/hosts/${host}/rack`]: 'r1', [`/hosts/${host}/address`]: url,
			});
		}

		const queue = Object.fromEntries(Object.entries(this.#options.queue ?? {}).map(([field, value]) => [`/queues/pairings/${field}`, value]));
		await this.change({
			'/teams/red/share': 1, '/teams/red/upperLimit': 100, '/teams/red/keys/red-1/hash': this.key.secretHash,
			'/pools/pairing/cancelGraceMs': 50, '/queues/pairings/pool': 'pairing',
			...hosts, ...queue, ...this.#options.settings,
		});
	}
}

/** Returns a logger that is silent unless `TEST_LOG` is set, for example `TEST_LOG=1`. */
const testLogger = () => process.env.TEST_LOG === undefined ? silentLogger : createLogger('gate', 'debug');

/** The answer that a caller received, or the reason why it is incomplete. */
export type CallerAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
	/** The parsed problem, if the answer is a problem document. */
	readonly problem: Partial<Problem> | undefined;
	/** Error code of the connection, if it failed before the end of the answer. */
	readonly connectionError: string | undefined;
};

export type CallerRequestOptions = {
	readonly method?: 'GET' | 'HEAD' | 'POST' | 'PUT';
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** Sends a request as a caller and reads its answer to the end. */
export const call = async (url: string, options: CallerRequestOptions = {}): Promise<CallerAnswer> => {
	try {
		const answer = await request(url, {method: 'GET', ...options});
		return await readAnswer(answer);
	} catch (error) {
		return {
			status: 0, headers: {}, text: '', problem: undefined, connectionError: (error as NodeJS.ErrnoException).code ?? String(error),
		};
	}
};

const readAnswer = async ({statusCode, headers, body}: Dispatcher.ResponseData): Promise<CallerAnswer> => {
	const chunks: Uint8Array[] = [];
	let connectionError: string | undefined;
	try {
		for await (const chunk of body as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}
	} catch (error) {
		connectionError = (error as NodeJS.ErrnoException).code ?? String(error);
	}

	const text = Buffer.concat(chunks).toString();
	const isProblem = headers['content-type'] === problemContentType && connectionError === undefined;
	return {
		status: statusCode, headers, text, problem: isProblem ? JSON.parse(text) as Partial<Problem> : undefined, connectionError,
	};
};
