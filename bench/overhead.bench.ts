/**
Compares a gate with a minimal proxy of Node's `http` and `undici`. Each runs on its own thread in front of the same backend servers, and they are loaded alternately, so that other work on the machine affects both equally. Throughput is measured with many connections, added latency with few.
*/
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {TestFleet} from '../packages/gate/tests/support/test-fleet.js';
import {type LoadResult, runLoad} from './support/load.js';
import {median} from './support/median.js';
import {type OverheadRole} from './support/overhead-worker.js';

const backendCount = 4;
const slotsPerServer = 32;
const answerBytes = 256;
const body = 'n'.repeat(256);
const rounds = 8;
const roundMs = 1000;
const warmUpMs = 1500;
const busyConnections = 48;
const calmConnections = 2;
const microsecondsPerMs = 1000;

// Worker threads do not inherit the TypeScript loader.
const bootstrap = `import('tsx/esm/api').then(({register}) => {
	register();
	return import(${JSON.stringify(new URL('support/overhead-worker.ts', import.meta.url).href)});
});`;

type StartedWorker = {readonly worker: Worker; readonly urls: readonly string[]};

const startWorker = async (role: OverheadRole): Promise<StartedWorker> => {
	const worker = new Worker(bootstrap, {eval: true, workerData: role});
	const [urls] = await once(worker, 'message') as [readonly string[]];
	return {worker, urls};
};

const round = (value: number): number => Math.round(value * microsecondsPerMs) / microsecondsPerMs;

const quantileMs = (result: LoadResult, quantile: number): number =>
	result.latencies.getValueAtPercentile(quantile) / microsecondsPerMs;

type ResultPair = {readonly gate: LoadResult; readonly bare: LoadResult};

const startFleet = async (backendUrls: readonly string[]): Promise<TestFleet> => {
	const settings: Record<string, string | number> = {'/pools/pairing/slotsPerServer': slotsPerServer, '/teams/red/upperLimit': 1000};
	for (const [index, url] of backendUrls.entries()) {
		Object.assign(settings, {
			[`/hosts/b${index}/pool`]: 'pairing', [`/hosts/b${index}/dataCentre`]: 'dc-1', [`/hosts/b${index}/rack`]: 'r1', [`/hosts/b${index}/address`]: url,
		});
	}

	const fleet = await TestFleet.start({hosts: 0, settings});
	for (const index of backendUrls.keys()) {
		fleet.platform.hosts.put(`b${index}`);
	}

	return fleet;
};

/** Runs the benchmark, which takes about 40 s. */
export const run = async (): Promise<Record<string, unknown>> => {
	const backends = await startWorker({type: 'backends', count: backendCount, answerBytes});
	const fleet = await startFleet(backends.urls);
	const bare = await startWorker({type: 'forwarder', backends: backends.urls, connections: slotsPerServer});
	const gate = await startWorker({type: 'gate', settings: fleet.gateSettings('gate-1')});
	const head = (path: string): readonly string[] => [`POST ${path} HTTP/1.1`, `Authorization: ${fleet.authorization.authorization}`];
	const load = async (target: 'gate' | 'bare', connections: number, durationMs: number): Promise<LoadResult> => runLoad({
		url: target === 'gate' ? gate.urls[0]! : bare.urls[0]!, head: head(target === 'gate' ? '/q/pairings/draw' : '/draw'), body, connections, durationMs,
	});
	const measurePairs = async (connections: number): Promise<readonly ResultPair[]> => {
		await load('gate', connections, warmUpMs);
		await load('bare', connections, warmUpMs);
		const measured: ResultPair[] = [];
		for (let index = 0; index < rounds; index++) {
			const first = await load(index % 2 === 0 ? 'gate' : 'bare', connections, roundMs);
			const second = await load(index % 2 === 0 ? 'bare' : 'gate', connections, roundMs);
			measured.push(index % 2 === 0 ? {gate: first, bare: second} : {gate: second, bare: first});
		}

		return measured;
	};

	try {
		const busy = await measurePairs(busyConnections);
		const calm = await measurePairs(calmConnections);
		const addedMs = (quantile: number): number => round(median(calm.map(pair => quantileMs(pair.gate, quantile) - quantileMs(pair.bare, quantile))));
		return {
			throughputRatio: round(median(busy.map(pair => pair.gate.perSecond / pair.bare.perSecond))),
			throughputRatioTarget: 0.8,
			addedP50Ms: addedMs(50),
			addedP50MsTarget: 0.3,
			addedP99Ms: addedMs(99),
			addedP99MsTarget: 1,
			gatePerSecond: Math.round(median(busy.map(pair => pair.gate.perSecond))),
			barePerSecond: Math.round(median(busy.map(pair => pair.bare.perSecond))),
			gateP99MsBusy: round(median(busy.map(pair => quantileMs(pair.gate, 99)))),
			bareP99MsBusy: round(median(busy.map(pair => quantileMs(pair.bare, 99)))),
			failures: [...busy, ...calm].reduce((sum, pair) => sum + pair.gate.failures + pair.bare.failures, 0),
			rounds,
		};
	} finally {
		await Promise.all([gate, bare, backends].map(async ({worker}) => worker.terminate()));
		await fleet.close();
	}
};
