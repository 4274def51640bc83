/**
Tests table calls that are relayed through a peer while the direct path is down.
*/
import {type JsonValue, SeededRandom, VirtualClock} from '@poplarnotch/common';
import {
	ConflictError, RejectedError, UnavailableError, type WatchableTable, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {advanceVirtualTime, MemoryTableService} from '@poplarnotch/standin';
import {expect, test} from 'vitest';
import {PeerUnreachableError, performRelayed, RelayedTable} from '@poplarnotch/state';

class TablePath {
	isDown = false;
	isRejecting = false;
	calls = 0;
	readonly table: WatchableTable;

	constructor(memory: MemoryTableService) {
		const reach = (): void => {
			this.calls++;
			if (this.isDown) {
				throw new UnavailableError('refused');
			}

			if (this.isRejecting) {
				throw new RejectedError('too large');
			}
		};

		this.table = {
			async commit(transaction) {
				reach();
				return memory.commit(transaction);
			},
			async readRows(keys) {
				reach();
				return memory.readRows(keys);
			},
			async readPrefix(prefix) {
				reach();
				return memory.readPrefix(prefix);
			},
			async changesSince(prefix, revision) {
				reach();
				return memory.changesSince(prefix, revision);
			},
			async listRows(prefix) {
				reach();
				return memory.readPrefix(prefix);
			},
			async readRevision() {
				reach();
				return memory.revision;
			},
			async waitForChanges(prefix, revision) {
				reach();
				return memory.changesSince(prefix, revision);
			},
		};
	}
}

const setUp = (peers: readonly string[] = ['http://peer']) => {
	const memory = new MemoryTableService();
	const [own, other] = [new TablePath(memory), new TablePath(memory)];
	const clock = new VirtualClock();
	const failedPeers: string[] = [];
	let peerFailure: Error | undefined;
	const relayed = new RelayedTable({
		direct: own.table,
		peers: () => peers,
		async callPeer(url, _method, parameters: JsonValue) {
			if (peerFailure !== undefined) {
				failedPeers.push(url);
				throw peerFailure;
			}

			return structuredClone(await performRelayed(other.table, parameters));
		},
		clock,
	});
	return {
		memory, own, other, clock, relayed, failedPeers, failPeer(error: Error) {
			peerFailure = error;
		},
	};
};

const put = (key: string, version?: number) => ({
	conditions: version === undefined ? [] : [{key, version}],
	writes: [{type: 'put' as const, key, value: 1}],
});

test('after the direct path has failed once, calls are relayed through a peer until it works again', async () => {
	const {memory, own, other, clock, relayed} = setUp();
	own.isDown = true;
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(UnavailableError);
	await relayed.commit(put('a'));
	expect(memory.valueOf('a')).toBe(1);
	own.isDown = false;
	clock.advance(1000);
	await relayed.readRows(['a']);
	await relayed.readRows(['a']);
	const relayedCalls = other.calls;
	await relayed.commit(put('b'));
	expect(other.calls).toBe(relayedCalls);
});

test('a conflict of a relayed commit is reported as a conflict', async () => {
	const {own, relayed} = setUp();
	own.isDown = true;
	await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
	await relayed.commit(put('a', 0));
	await expect(relayed.commit(put('a', 0))).rejects.toBeInstanceOf(ConflictError);
});

test('a relayed commit that the table service rejects is reported as rejected, and the peer is used again', async () => {
	const {own, other, relayed} = setUp();
	own.isDown = true;
	await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
	other.isRejecting = true;
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(RejectedError);
	other.isRejecting = false;
	await relayed.commit(put('a'));
});

test('a relayed commit without a response has an unknown outcome', async () => {
	const {own, relayed, failPeer} = setUp();
	own.isDown = true;
	await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
	failPeer(new Error('connection reset'));
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(WriteOutcomeUnknownError);
});

test('a commit that did not reach a peer is relayed through another one, and is reported as not applied if no peer is reached', async () => {
	const {memory, own, relayed, failPeer, failedPeers} = setUp(['http://gone-1', 'http://gone-2', 'http://peer']);
	own.isDown = true;
	await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
	failPeer(new PeerUnreachableError('connection refused', {mayBePerformed: false}));
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(UnavailableError);
	expect(failedPeers).toHaveLength(2);
	expect(memory.valueOf('a')).toBeUndefined();
});

test('a commit relayed through a peer that cannot reach the table service either is reported as not applied', async () => {
	const {own, other, relayed} = setUp();
	own.isDown = true;
	other.isDown = true;
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(UnavailableError);
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(UnavailableError);
});

test('hosts that lose their direct path at the same time are spread over the peers', async () => {
	const peers = Array.from({length: 10}, (_value, index) => `http://peer-${index}`);
	const calledPeers = new Set<string>();
	for (let host = 0; host < 30; host++) {
		const memory = new MemoryTableService();
		const own = new TablePath(memory);
		own.isDown = true;
		const relayed = new RelayedTable({
			direct: own.table, peers: () => peers, random: new SeededRandom(host), clock: new VirtualClock(),
			async callPeer(url, _method, parameters: JsonValue) {
				calledPeers.add(url);
				return structuredClone(await performRelayed(new TablePath(memory).table, parameters));
			},
		});
		await relayed.readRows(['a']).catch(() => undefined);
		await relayed.readRows(['a']);
	}

	expect(calledPeers.size).toBeGreaterThanOrEqual(8);
});

test('while the table service is down for all, peers are not called and the direct path is probed with one small read', async () => {
	const {own, other, clock, relayed} = setUp(Array.from({length: 10}, (_value, index) => `http://peer-${index}`));
	own.isDown = true;
	other.isDown = true;
	await expect(relayed.listRows('jobs/')).rejects.toBeInstanceOf(UnavailableError);
	await expect(relayed.listRows('jobs/')).rejects.toBeInstanceOf(UnavailableError);
	const {calls} = other;
	for (let call = 0; call < 20; call++) {
		clock.advance(20);
		await expect(relayed.listRows('jobs/')).rejects.toBeInstanceOf(UnavailableError);
	}

	expect(other.calls - calls).toBeLessThanOrEqual(1);
	own.isDown = false;
	clock.advance(400);
	await relayed.listRows('jobs/').catch(() => undefined);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	const before = other.calls;
	await relayed.listRows('jobs/');
	expect(other.calls).toBe(before);
});

test('a peer that does not reach the table service refuses a commit at once instead of sending it', async () => {
	const {other} = setUp();
	const response = await performRelayed(other.table, {type: 'commit', transaction: put('a')}, () => false);
	expect(response).toMatchObject({type: 'unavailable'});
	expect(other.calls).toBe(0);
});

const neverResolves = async (): Promise<never> => new Promise(() => {
	// Never settles.
});

/** A direct path on which calls are never answered. */
const silentTable = (): WatchableTable => {
	const {table} = new TablePath(new MemoryTableService());
	return {
		...table, commit: neverResolves, readRows: neverResolves,
	};
};

test('a process that relays its own calls refuses those of peers, which its silent path would leave without an answer', async () => {
	const memory = new MemoryTableService();
	const relaying = new RelayedTable({
		direct: silentTable(), peers: () => ['http://peer'], callPeer: async (_url, _method, parameters) => performRelayed(new TablePath(memory).table, parameters), clock: new VirtualClock(),
	});
	relaying.abandonDirectPath(500);
	await relaying.commit(put('own'));
	expect(await relaying.performForPeer({type: 'commit', transaction: put('of-peer')})).toMatchObject({type: 'unavailable'});
	expect(memory.valueOf('of-peer')).toBeUndefined();
});

test('a process whose own calls are not answered refuses those of peers before it has given up its path', async () => {
	const clock = new VirtualClock();
	const waiting = new RelayedTable({
		direct: silentTable(), peers: () => [], callPeer: async () => undefined, clock,
	});
	void waiting.readRows(['a']);
	clock.advance(300);
	expect(await waiting.performForPeer({type: 'commit', transaction: put('of-peer')})).toMatchObject({type: 'unavailable'});
});

test('calls that a peer leaves without an answer end as soon as the direct path works again', async () => {
	const memory = new MemoryTableService();
	await memory.commit(put('stored'));
	const own = new TablePath(memory);
	const clock = new VirtualClock();
	const relayed = new RelayedTable({
		direct: own.table, peers: () => ['http://peer-1', 'http://peer-2'], callPeer: neverResolves, clock,
	});
	own.isDown = true;
	await expect(relayed.readRows(['stored'])).rejects.toBeInstanceOf(UnavailableError);
	const commit = relayed.commit(put('a')).catch((error: unknown) => error);
	const read = relayed.readRows(['stored']);
	own.isDown = false;
	await advanceVirtualTime(clock, 300);
	expect(await Promise.race([commit, Promise.resolve('pending')])).toBeInstanceOf(WriteOutcomeUnknownError);
	expect(await Promise.race([read, Promise.resolve('pending')])).toMatchObject([{key: 'stored'}]);
});

test('a call finds the one peer that reaches the table service among peers that refuse it', async () => {
	const memory = new MemoryTableService();
	for (let host = 0; host < 20; host++) {
		const own = new TablePath(memory);
		own.isDown = true;
		const relayed = new RelayedTable({
			direct: own.table, peers: () => ['http://refusing-1', 'http://refusing-2', 'http://refusing-3', 'http://reaching'], async callPeer(peer, _method, parameters) {
				return performRelayed(new TablePath(memory).table, parameters, () => peer === 'http://reaching');
			}, random: new SeededRandom(host), clock: new VirtualClock(),
		});
		await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
		await relayed.commit(put(`of-${host}`));
		expect(memory.valueOf(`of-${host}`)).toBe(1);
	}
});
