/**
Table calls through a peer while the own path is lost.
*/
import {type JsonValue, VirtualClock} from '@poplarnotch/common';
import {
	ConflictError, UnavailableError, type WatchableTable, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {MemoryTableService} from '@poplarnotch/standin';
import {expect, test} from 'vitest';
import {performRelayed, RelayedTable} from '@poplarnotch/state';

class Path {
	isDown = false;
	calls = 0;
	readonly table: WatchableTable;

	constructor(memory: MemoryTableService) {
		const reach = (): void => {
			this.calls++;
			if (this.isDown) {
				throw new UnavailableError('turned away');
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
			async waitForChanges(prefix, revision) {
				reach();
				return memory.changesSince(prefix, revision);
			},
		};
	}
}

const setUp = () => {
	const memory = new MemoryTableService();
	const [own, other] = [new Path(memory), new Path(memory)];
	const clock = new VirtualClock();
	let peerFailure: Error | undefined;
	const relayed = new RelayedTable({
		own: own.table,
		peers: () => ['http://peer'],
		async callPeer(_url, _method, parameters: JsonValue) {
			if (peerFailure !== undefined) {
				throw peerFailure;
			}

			return structuredClone(await performRelayed(other.table, parameters));
		},
		clock,
	});
	return {
		memory, own, other, clock, relayed, failPeer(error: Error) {
			peerFailure = error;
		},
	};
};

const put = (key: string, version?: number) => ({
	conditions: version === undefined ? [] : [{key, version}],
	writes: [{type: 'put' as const, key, value: 1}],
});

test('after the own path has failed once, calls go through a peer until it answers again', async () => {
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

test('a conflict that a peer meets is a conflict', async () => {
	const {own, relayed} = setUp();
	own.isDown = true;
	await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
	await relayed.commit(put('a', 0));
	await expect(relayed.commit(put('a', 0))).rejects.toBeInstanceOf(ConflictError);
});

test('a commit that a peer did not answer may have been applied, a read was not', async () => {
	const {own, relayed, failPeer} = setUp();
	own.isDown = true;
	await expect(relayed.readRows(['a'])).rejects.toBeInstanceOf(UnavailableError);
	failPeer(new Error('connection reset'));
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(WriteOutcomeUnknownError);
});

test('a peer that is turned away too leaves the call certainly not applied', async () => {
	const {own, other, relayed} = setUp();
	own.isDown = true;
	other.isDown = true;
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(UnavailableError);
	await expect(relayed.commit(put('a'))).rejects.toBeInstanceOf(UnavailableError);
});
