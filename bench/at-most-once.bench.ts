/**
Sends thousands of requests with idempotency keys over real sockets while responses of the table service are lost, the table service is briefly down, gates are killed and restarted, and backend servers reset connections in the middle of responses or refuse them. Each caller repeats its request at any gate until it receives a definite answer.

Every attempt has its own run key, so that a refusal with the outcome "not run" can be compared with the runs that the backend servers recorded.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {
	MetricsRegistry, SeededRandom, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {HttpTableService, PlatformConnection} from '@poplarnotch/platform';
import {PlatformStandIn} from '@poplarnotch/standin';
import {ClaimStore} from '../packages/gate/src/claims/claim-store.js';
import {type BatcherOptions, CommitBatcher} from '../packages/gate/src/claims/commit-batcher.js';
import {RowReader} from '../packages/gate/src/claims/row-reader.js';
import {
	call, type CallerAnswer, type RunningGate, startGateWith, TestFleet,
} from '../packages/gate/tests/support/test-fleet.js';

const gateCount = 3;
const hostCount = 4;
const keyCount = 3000;
const callerCount = 200;
const maxAttempts = 12;
const faultPauseMs = 400;
const retryPauseMs = 60;
const seed = 7;
const slotsPerServer = 16;
const gateOverrides = ['claims.writesPerSecond=100', 'claims.writeBurst=10', 'log.level=error'];
const millisecondsPerSecond = 1000;

const steadyClaims = 10_000;
const steadyConcurrency = 400;
const steadyOptions: BatcherOptions = {
	lingerMs: 2, slowLingerMs: 20, maxGroupSize: 100, maxGroupBytes: 262_144, maxInFlight: 2, writesPerSecond: 40, writeBurst: 10, callTimeoutMs: 1000,
};

type KeyRecord = {
	attemptCount: number;
	notRun: number[];
	answered: string | undefined;
	unknown: boolean;
	mismatchedAnswers: number;
};

type ClaimCounts = {changes: number; transactions: number};

/** The gates of the bench, which are killed and restarted while it runs. */
class Gates {
	readonly counts: ClaimCounts = {changes: 0, transactions: 0};
	kills = 0;
	readonly #fleet: TestFleet;
	readonly #running: Array<RunningGate | undefined> = [];

	constructor(fleet: TestFleet) {
		this.#fleet = fleet;
	}

	async start(index: number): Promise<void> {
		this.#running[index] = await startGateWith(this.#fleet.gateSettings(`gate-${index}`, gateOverrides));
	}

	async kill(index: number): Promise<void> {
		const gate = this.#running[index];
		if (gate !== undefined) {
			this.#running[index] = undefined;
			this.kills++;
			this.#addCounts(gate);
			await gate.process.kill();
		}
	}

	randomRunning(random: number): RunningGate | undefined {
		const runningGates = this.#running.filter(gate => gate !== undefined);
		return runningGates[Math.floor(random * runningGates.length)];
	}

	async close(): Promise<void> {
		for (const index of this.#running.keys()) {
			await this.kill(index);
		}
	}

	#addCounts(gate: RunningGate): void {
		const claims = gate.process.dump().claims as ClaimCounts;
		this.counts.changes += claims.changes;
		this.counts.transactions += claims.transactions;
	}
}

const runKeyOf = (key: number, attempt: number): string => `k${key}-${attempt}`;

const recordAnswer = (record: KeyRecord, attempt: number, answer: CallerAnswer): void => {
	if (answer.status === 200 && answer.connectionError === undefined) {
		record.mismatchedAnswers += record.answered !== undefined && record.answered !== answer.text ? 1 : 0;
		record.answered ??= answer.text;
	} else if (answer.problem?.type === 'outcome-unknown' || answer.problem?.outcome === 'ran') {
		record.unknown = true;
	} else if (answer.problem?.outcome === 'not-run') {
		record.notRun.push(attempt);
	}
};

const injectFaults = async (fleet: TestFleet, gates: Gates, isFinished: () => boolean): Promise<void> => {
	const random = new SeededRandom(seed);
	fleet.platform.setFaults({writesPerSecond: 400, readsPerSecond: 2000, loseAnswerShare: 0.05});
	for (let round = 0; !isFinished(); round++) {
		const server = fleet.backends.servers[Math.floor(random.next() * hostCount)]!;
		const fault = (['resetMidAnswer', 'resetBeforeAnswer', 'refuseConnections', 'shortAnswer'] as const)[round % 4]!;
		await server.setFaults({[fault]: true});
		await sleep(faultPauseMs);
		await server.setFaults({[fault]: false});
		if (round % 3 === 0) {
			const index = Math.floor(random.next() * gateCount);
			await gates.kill(index);
			await gates.start(index);
		} else if (round % 3 === 1) {
			fleet.platform.setFaults({down: true});
			await sleep(faultPauseMs / 2);
			fleet.platform.setFaults({down: false});
		}
	}

	fleet.platform.setFaults({loseAnswerShare: 0});
};

const sendAttempt = async (fleet: TestFleet, gate: RunningGate, key: number, attempt: number): Promise<CallerAnswer> => call(`${gate.url}/q/pairings/draw?ms=5`, {
	method: 'POST',
	headers: {
		...fleet.authorization, 'idempotency-key': `key-${key}`, 'x-run-key': runKeyOf(key, attempt), 'request-timeout-ms': '5000',
	},
	body: `names of draw ${key}`,
});

/** Measures claims and recorded responses of a single claim store that is limited to one gate's share of the table service's write rate. */
const measureClaims = async (): Promise<Record<string, unknown>> => {
	const platform = new PlatformStandIn({faults: {writesPerSecond: 400, readsPerSecond: 2000}});
	const connection = new PlatformConnection({baseUrl: await platform.start(), clientName: 'bench'});
	const clock = new SystemClock();
	const table = new HttpTableService(connection);
	const batcher = new CommitBatcher(table, clock, steadyOptions);
	const store = new ClaimStore({
		holder: () => 'bench@1',
		batcher,
		reader: new RowReader(table, clock, steadyOptions.callTimeoutMs),
		holders: {isGone: async () => false},
		clock,
		settleTimeoutMs: 5000,
		log: silentLogger,
		metrics: new MetricsRegistry(),
	});
	let next = 0;
	let claimed = 0;
	const waits: number[] = [];
	const claimAndRecord = async (): Promise<void> => {
		for (let index = next++; index < steadyClaims; index = next++) {
			const requestId = `r${index}`;
			const requestedMs = performance.now();
			const {type} = await store.claim({
				requestId, team: 'red', idempotencyKey: requestId, fingerprint: 'f',
			});
			waits.push(performance.now() - requestedMs);
			claimed += type === 'claimed' ? 1 : 0;
			void store.record(requestId, {status: 200, headers: {}, bodyBase64: 'b2s='});
		}
	};

	const startedMs = performance.now();
	await Promise.all(Array.from({length: steadyConcurrency}, claimAndRecord));
	await store.flush();
	const seconds = (performance.now() - startedMs) / millisecondsPerSecond;
	const {changes, transactions} = batcher.counts;
	await connection.close();
	await platform.close();
	return {
		claimed,
		claimsPerSecond: Math.round(claimed / seconds),
		writesPerSecond: Math.round(transactions / seconds),
		claimsPerWrite: Math.round(claimed / transactions * 10) / 10,
		rowChangesPerWrite: Math.round(changes / transactions * 10) / 10,
		p50WaitMs: Math.round(waits.toSorted((a, b) => a - b)[Math.floor(waits.length / 2)]!),
	};
};

/** Runs the benchmark, which takes about 30 s. */
export const run = async (): Promise<Record<string, unknown>> => {
	const fleet = await TestFleet.start({hosts: hostCount, settings: {'/pools/pairing/slotsPerServer': slotsPerServer, '/teams/red/upperLimit': 1000}});
	const gates = new Gates(fleet);
	const random = new SeededRandom(seed + 1);
	const records = Array.from({length: keyCount}, (): KeyRecord => ({
		attemptCount: 0, notRun: [], answered: undefined, unknown: false, mismatchedAnswers: 0,
	}));
	for (let index = 0; index < gateCount; index++) {
		await gates.start(index);
	}

	let nextKey = 0;
	const repeatUntilAnswered = async (key: number): Promise<void> => {
		const record = records[key]!;
		// Two answers are collected for each request, so that they can be compared.
		let remainingAnswers = 2;
		while (remainingAnswers > 0 && record.attemptCount < maxAttempts && !record.unknown) {
			const gate = gates.randomRunning(random.next());
			if (gate !== undefined) {
				const answer = await sendAttempt(fleet, gate, key, record.attemptCount);
				recordAnswer(record, record.attemptCount, answer);
				record.attemptCount++;
				remainingAnswers -= answer.status === 200 && answer.connectionError === undefined ? 1 : 0;
			}

			await sleep(retryPauseMs);
		}
	};

	const runCaller = async (): Promise<void> => {
		for (let key = nextKey++; key < keyCount; key = nextKey++) {
			await repeatUntilAnswered(key);
		}
	};

	const startedMs = performance.now();
	let isFinished = false;
	const faults = injectFaults(fleet, gates, () => isFinished);
	await Promise.all(Array.from({length: callerCount}, runCaller));
	const durationMs = performance.now() - startedMs;
	isFinished = true;
	await faults;
	const runs = new Map(fleet.backends.records.flatMap(({runs: ofServer}) => Object.entries(ofServer)));
	const runsOfAttempt = (key: number, attempt: number): number => runs.get(runKeyOf(key, attempt)) ?? 0;
	await gates.close();
	const runsOfKey = records.map((record, key) => Array.from({length: record.attemptCount}, (_, attempt) => runsOfAttempt(key, attempt)).reduce((sum, count) => sum + count, 0));
	const figures = {
		keys: keyCount,
		tries: records.reduce((sum, record) => sum + record.attemptCount, 0),
		runTries: runs.size,
		answeredKeys: records.filter(record => record.answered !== undefined).length,
		unknownKeys: records.filter(record => record.unknown).length,
		undecidedKeys: records.filter(record => record.answered === undefined && !record.unknown).length,
		gateKills: gates.kills - gateCount,
		doubleRuns: runsOfKey.filter(count => count > 1).length,
		doubleRunsTarget: 0,
		falseNotRun: records.reduce((sum, record, key) => sum + record.notRun.filter(attempt => runsOfAttempt(key, attempt) > 0).length, 0),
		falseNotRunTarget: 0,
		mismatchedAnswers: records.reduce((sum, record) => sum + record.mismatchedAnswers, 0),
		mismatchedAnswersTarget: 0,
		rowChangesPerWrite: Math.round(gates.counts.changes / gates.counts.transactions * 100) / 100,
		rowChanges: gates.counts.changes,
		writes: gates.counts.transactions,
		keysPerSecond: Math.round(keyCount / (durationMs / millisecondsPerSecond)),
		seed,
	};
	await fleet.close();
	const steady = await measureClaims();
	return {...figures, claimsPerWrite: steady.claimsPerWrite, steady};
};
