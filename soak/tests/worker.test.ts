/**
Calls that a worker carries out late reach the incarnation that is there by then, which knows nothing of before, and the checks see what they do.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, it,
} from 'vitest';
import {checks, type Evidence} from '../checks.js';
import {KeepAliveClients, type Received} from '../http.js';
import {type Job, Ledger} from '../ledger.js';
import {Record as SoakRecord} from '../record.js';
import {RowStore} from '../row-store.js';
import {workerCapacity} from '../settings.js';
import {Worker} from '../worker.js';

const lateMs = 600;
const downMs = 50;
const deadlineMs = 60_000;

let ledger: Ledger;
let rows: RowStore;
let workers: Worker[];
let clients: KeepAliveClients[];

beforeEach(async () => {
	ledger = new Ledger();
	const body = {spec: '', phases: [{count: 4, cpu: workerCapacity.cpu, mem_mb: 1}]};
	for (const [id, workMs] of [['a', 20], ['b', 10_000]] as const) {
		ledger.jobs.set(id, {
			id, body, workMs, failures: 0,
		} as unknown as Job);
	}

	rows = new RowStore();
	workers = ['w1', 'w2'].map(id => new Worker({
		id, service: 's', ip: '127.0.0.1', zone: 'z', rack: 'r', rows, ledger, record: new SoakRecord(), beforeStart: () => undefined, lateMsOf: () => 0,
	}));
	clients = [];
	for (const worker of workers) {
		await worker.start();
		const {addr} = rows.read('servers', worker.id) as {readonly addr: string};
		clients.push(new KeepAliveClients('127.0.0.1', Number(addr.split(':')[1])));
	}
});

afterEach(async () => {
	for (const [index, worker] of workers.entries()) {
		worker.end();
		await clients[index]!.close();
	}
});

const call = async (index: number, path: string, body: Readonly<Record<string, unknown>>): Promise<Received> => clients[index]!.call({method: 'POST', path, body});

const start = async (index: number, task: string, attempt = 1, untilMs = deadlineMs): Promise<Received> => call(index, '/run-start', {
	task, attempt, deadline_ms: untilMs, fencing_token: 5000,
});

/** Sends the call to the first worker, which carries it out late, and restarts it before that. */
const restartUnder = async (path: string, body: Readonly<Record<string, unknown>>): Promise<void> => {
	const worker = workers[0]!;
	worker.lateMsByPath.set(path, lateMs);
	void call(0, path, body);
	await sleep(lateMs / 4);
	worker.lateMsByPath.clear();
	await worker.restart(downMs);
};

const lateStart = {
	task: 'b.0.0.0', attempt: 1, deadline_ms: deadlineMs, fencing_token: 5000,
};

const brokenOf = (rule: string): number => checks[rule]!({deployment: {ledger, record: new SoakRecord(), daemonOfFence: () => undefined}} as unknown as Evidence).broken.length;

it('a late start is carried out by the next incarnation, and is seen as a second run and over the capacity', async () => {
	await restartUnder('/run-start', lateStart);
	expect(await start(1, 'b.0.0.0', 2)).toMatchObject({status: 200});
	expect(await start(0, 'b.0.0.1')).toMatchObject({status: 200});
	await sleep(lateMs);
	expect(ledger.runsOf('b.0.0.0').map(({worker}) => worker)).toEqual(['w2', 'w1']);
	expect(brokenOf('TWICE')).toBe(1);
	expect(brokenOf('LIMIT')).toBe(1);
});

const registration = (): {readonly seq?: number; readonly born?: number; readonly ver?: number} => ({
	...rows.read('servers', 'w1') as {readonly seq: number; readonly born: number} | undefined, ver: rows.live({table: 'servers', key: 'w1'})?.ver,
});

it('a worker writes its registration anew at each heartbeat, with a new version', () => {
	const first = registration();
	workers[0]!.keepRegistered(performance.now() + 1400);
	expect(registration()).toEqual(first);
	workers[0]!.keepRegistered(performance.now() + 1500);
	const second = registration();
	expect(second).toMatchObject({seq: first.seq! + 1, born: first.born});
	expect(second.ver).toBeGreaterThan(first.ver!);
});

it.each(['isUnregistered', 'isCutFromStore'] as const)('a registration is removed after three heartbeat intervals without one (%s), and is back when that is over', flag => {
	workers[0]![flag] = true;
	workers[0]!.keepRegistered(performance.now() + 4400);
	expect(registration()).toMatchObject({seq: 1});
	workers[0]!.keepRegistered(performance.now() + 4500);
	expect(registration()).toEqual({ver: undefined});
	const {ver} = rows;
	workers[0]!.keepRegistered(performance.now() + 4600);
	expect(rows.ver).toBe(ver);
	workers[0]![flag] = false;
	workers[0]!.keepRegistered(performance.now() + 1500);
	expect(registration()).toMatchObject({seq: 2});
});

it('a registration that was removed stays away while its worker runs on and does not register itself', async () => {
	workers[0]!.isUnregistered = true;
	workers[0]!.unregister();
	workers[0]!.keepRegistered(performance.now() + 1500);
	expect(registration()).toEqual({ver: undefined});
	expect(await call(0, '/hold', {fencing_token: 5000})).toMatchObject({status: 200});
});

it('the registration of a crashed worker is that of before the crash until it registers itself, and is removed when that takes too long', async () => {
	const first = registration();
	workers[0]!.isCutFromStore = true;
	await workers[0]!.restart(downMs);
	workers[0]!.keepRegistered(performance.now() + 1500);
	expect(registration()).toEqual(first);
	workers[0]!.isCutFromStore = false;
	workers[0]!.register();
	const second = registration();
	expect(second.born).toBeGreaterThan(first.born!);
	workers[0]!.end();
	workers[0]!.keepRegistered(performance.now() + 4500);
	expect(registration()).toEqual({ver: undefined});
});

it('a worker whose answers are lost starts again, carries out what is sent, and is not seen to have done so', async () => {
	const worker = workers[0]!;
	worker.isCutFromStore = true;
	worker.muteUpToFence = Number.MAX_SAFE_INTEGER;
	await worker.restart(downMs);
	void start(0, 'b.0.0.0');
	void call(0, '/hold', {fencing_token: 5000});
	await sleep(lateMs / 4);
	expect(ledger.runsOf('b.0.0.0')).toMatchObject([{worker: 'w1', listedAtMs: undefined, endedAtMs: undefined}]);
	worker.muteUpToFence = 0;
	expect(await call(0, '/hold', {fencing_token: 5000})).toMatchObject({body: {running: [['b.0.0.0', 1, '', expect.any(Number), workerCapacity.cpu]]}});
});

it('a worker that drains reports it, ends its work before it leaves, and takes the ends along that were listed', async () => {
	await start(0, 'b.0.0.0');
	workers[0]!.drain(2000, 20);
	expect(rows.read('servers', 'w1')).toMatchObject({state: 'draining', remaining_ms: expect.any(Number) as number});
	await sleep(lateMs / 4);
	workers[0]!.advance();
	expect(await call(0, '/hold', {fencing_token: 5000})).toMatchObject({body: {finished: [[1, 'b.0.0.0', 1, 'done', '']], running: []}});
	expect(workers[0]!.listedEnds).toHaveLength(1);
	workers[0]!.endFor('left');
	expect(ledger.runsOf('b.0.0.0')).toMatchObject([{how: 'done', lostBy: 'left', notedAtMs: undefined}]);
	const [{listedAtMs = 0, lostAtMs = 0} = {}] = ledger.runsOf('b.0.0.0');
	expect(lostAtMs).toBeGreaterThanOrEqual(listedAtMs);
});

it('a late start is refused by an incarnation that has seen a higher fencing token', async () => {
	await restartUnder('/run-start', lateStart);
	expect(await call(0, '/hold', {fencing_token: 5001})).toMatchObject({status: 200, body: {running: []}});
	await sleep(lateMs);
	expect(ledger.runs).toEqual([]);
});

it('a late poll extends the lease of the next incarnation, and makes it forget its ends', async () => {
	await restartUnder('/hold', {fencing_token: 5000, deadline_ms: deadlineMs, ack_cursor: 9});
	await start(0, 'a.0.0.0', 1, lateMs);
	await start(0, 'b.0.0.0', 1, lateMs);
	await sleep(lateMs / 4);
	workers[0]!.advance();
	expect(ledger.runsOf('a.0.0.0')).toMatchObject([{how: 'done', sequence: 1}]);
	await sleep(lateMs);
	workers[0]!.advance();
	expect(await call(0, '/hold', {fencing_token: 5000})).toMatchObject({body: {finished: [], running: [['b.0.0.0', 1, '', expect.any(Number), workerCapacity.cpu]]}});
});
