/**
The ranking of processes by CPU, which decides who is ready to take over a lease.
*/
import {VirtualClock} from '@poplarnotch/common';
import {advanceVirtualTime, MemoryTableService} from '@poplarnotch/standin';
import {expect, test} from 'vitest';
import {type WatchableTable} from '@poplarnotch/platform';
import {RelayDirectory} from '@poplarnotch/state';

const settledMs = 2000;
const staleMs = 10_000;

const rowOf = (name: string, cpuMillicores: number, version: number) => ({key: `control/peers/${name}`, value: {url: `http://${name}`, beats: version, cpuMillicores}, version});

const directoryOf = (processId: string, cpuMillicores: number, clock: VirtualClock): RelayDirectory => new RelayDirectory({
	table: new MemoryTableService() as unknown as WatchableTable, processId, url: `http://${processId}`, cpuMillicores, clock,
});

test('no process counts as one of the largest before it knows its peers', () => {
	const clock = new VirtualClock();
	const directory = directoryOf('edge-1', 1350, clock);
	clock.advance(60_000);
	expect(directory.isAmongLargest(2)).toBe(false);
	directory.apply([rowOf('edge-2', 324, 1)]);
	expect(directory.isAmongLargest(2)).toBe(false);
	clock.advance(settledMs);
	expect(directory.isAmongLargest(2)).toBe(true);
});

test('exactly as many processes as asked for are among the largest, whichever of them is asked', () => {
	const millicores = [324, 1350, 675, 1350, 324, 1350, 675];
	const clock = new VirtualClock();
	const names = millicores.map((_value, index) => `edge-${index}`);
	const directories = names.map((name, index) => directoryOf(name, millicores[index]!, clock));
	for (const directory of directories) {
		directory.apply(names.map((name, index) => rowOf(name, millicores[index]!, index + 1)));
	}

	clock.advance(settledMs);
	const largest = (count: number): readonly string[] => names.filter((_name, index) => directories[index]!.isAmongLargest(count));
	expect(largest(2)).toEqual(['edge-1', 'edge-3']);
	expect(largest(4)).toEqual(['edge-1', 'edge-2', 'edge-3', 'edge-5']);
	expect(largest(7)).toEqual(names);
});

test('a process moves up when a larger one sends no heartbeats', () => {
	const clock = new VirtualClock();
	const directory = directoryOf('edge-2', 675, clock);
	directory.apply([rowOf('edge-1', 1350, 1)]);
	clock.advance(settledMs);
	expect(directory.isAmongLargest(1)).toBe(false);
	clock.advance(staleMs);
	expect(directory.isAmongLargest(1)).toBe(true);
	directory.apply([rowOf('edge-1', 1350, 2)]);
	expect(directory.isAmongLargest(1)).toBe(false);
});

test('a process that reaches the table only through others is no successor, and says so at once', async () => {
	const clock = new VirtualClock();
	const table = new MemoryTableService();
	let isRelaying = false;
	const relaying = new RelayDirectory({
		table: table as unknown as WatchableTable, processId: 'edge-1', url: 'http://edge-1', cpuMillicores: 1350, isRelaying: () => isRelaying, clock,
	});
	const other = directoryOf('edge-2', 324, clock);
	const copyRows = async (): Promise<void> => {
		const {rows} = await table.readPrefix('control/');
		relaying.apply(rows);
		other.apply(rows);
	};

	relaying.start();
	await advanceVirtualTime(clock, 500);
	await copyRows();
	await advanceVirtualTime(clock, settledMs);
	expect([relaying.isAmongLargest(1), other.isAmongLargest(1), other.hasLargerPeer()]).toEqual([true, false, true]);
	isRelaying = true;
	await advanceVirtualTime(clock, 500);
	await copyRows();
	expect([relaying.isAmongLargest(1), other.isAmongLargest(1), other.hasLargerPeer()]).toEqual([false, true, false]);
	expect(relaying.largest(2).map(({processId}) => processId)).toEqual([]);
	expect(other.largest(2).map(({processId}) => processId)).toEqual(['edge-2']);
	isRelaying = false;
	await advanceVirtualTime(clock, 500);
	await copyRows();
	expect([relaying.isAmongLargest(1), other.isAmongLargest(1)]).toEqual([true, false]);
	relaying.stop();
});
