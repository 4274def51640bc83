import fc from 'fast-check';
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {ConflictError} from '@poplarnotch/platform';
import {
	advanceVirtualTime, type CallOutcome, MemoryTableService, PausableProcess, UnreliableTable,
} from '@poplarnotch/standin';
import {type HeldLease, LeaseContender} from '@poplarnotch/state';

const leaseMs = 3000;
const name = 'wave-red';

const fate: fc.Arbitrary<CallOutcome> = fc.record({
	type: fc.constantFrom('answered' as const, 'answered' as const, 'answered' as const, 'refused' as const, 'answerLost' as const, 'late' as const),
	delayMs: fc.nat(400),
});

const pause = fc.record({process: fc.nat(2), atMs: fc.nat(15_000), durationMs: fc.integer({min: 200, max: 8000})});

const setUp = (fates: readonly CallOutcome[]) => {
	const clock = new VirtualClock();
	const table = new UnreliableTable(clock, fates);
	const processes = [0, 1, 2].map(() => new PausableProcess(clock));
	const contenders = processes.map((process, index) => new LeaseContender({
		table: process.wrapTable(table), holder: `gate-${index}@1`, leaseMs, clock: process,
	}));
	const leases = new Map<number, HeldLease>();
	for (const [index, contender] of contenders.entries()) {
		contender.contend(name, lease => {
			if (lease === undefined) {
				leases.delete(index);
			} else {
				leases.set(index, lease);
			}
		});
	}

	return {
		clock, table, processes, contenders, leases,
	};
};

test('no two processes trust the lease at the same time, a fence is stale as soon as another process holds the lease, and one process holds it in the end', async () => {
	await fc.assert(fc.asyncProperty(fc.array(fate, {maxLength: 60}), fc.array(pause, {maxLength: 6}), async (fates, pauses) => {
		const {clock, table, processes, contenders, leases} = setUp(fates);
		for (const {process, atMs, durationMs} of pauses) {
			clock.schedule(atMs, () => {
				processes[process]!.pause(durationMs);
			});
		}

		for (let passedMs = 0; passedMs < 40_000; passedMs += 100) {
			await advanceVirtualTime(clock, 100, 50);
			const trusting = contenders.filter(contender => contender.heldLease(name) !== undefined);
			expect(trusting.length).toBeLessThanOrEqual(1);
			const holder = table.inner.valueOf(`leases/${name}`) as {readonly holder: string} | undefined;
			for (const [index, {fence}] of leases) {
				if (holder?.holder !== `gate-${index}@1`) {
					expect(() => table.inner.commitNow({conditions: [fence], writes: []})).toThrow(ConflictError);
				}
			}
		}

		expect(contenders.filter(contender => contender.heldLease(name) !== undefined)).toHaveLength(1);
		for (const contender of contenders) {
			contender.close();
		}
	}), {seed: 17, numRuns: 40});
});

test('a released lease is acquired at the next poll, and withdrawing all leases resolves and deletes the row', async () => {
	const {clock, contenders, table} = setUp([]);
	await advanceVirtualTime(clock, 5000, 50);
	const first = contenders.findIndex(contender => contender.heldLease(name) !== undefined);
	const withdrawn = contenders[first]!.withdraw(name);
	await advanceVirtualTime(clock, 1100, 50);
	await withdrawn;
	const second = contenders.findIndex(contender => contender.heldLease(name) !== undefined);
	expect(second).not.toBe(first);
	expect(second).toBeGreaterThanOrEqual(0);
	const all = Promise.all(contenders.map(async contender => contender.withdrawAll()));
	await advanceVirtualTime(clock, 3000, 50);
	await all;
	expect(table.inner.valueOf(`leases/${name}`)).toBeUndefined();
});

test('renewals write only the renewal row, so the fence does not change while the holder is the same', async () => {
	const clock = new VirtualClock();
	const table = new MemoryTableService();
	const contender = new LeaseContender({
		table, holder: 'gate-1@1', leaseMs, clock,
	});
	contender.contend(name, () => undefined);
	await advanceVirtualTime(clock, 500, 50);
	const {fence} = contender.heldLease(name)!;
	await advanceVirtualTime(clock, 20_000, 50);
	expect(contender.heldLease(name)!.fence).toEqual(fence);
	expect(table.revision).toBeGreaterThan(15);
	contender.close();
});

test('a process acquires the lease of its own earlier run at once, while another process waits', async () => {
	const {clock, table, processes, contenders} = setUp([]);
	await advanceVirtualTime(clock, 500, 50);
	const holder = contenders.findIndex(contender => contender.heldLease(name) !== undefined);
	for (const contender of contenders) {
		contender.close();
	}

	const restart = (index: number): LeaseContender => new LeaseContender({
		table: processes[index]!.wrapTable(table), holder: `gate-${index}@2`, previousRunPrefix: `gate-${index}@`, leaseMs, clock: processes[index]!,
	});
	const other = restart((holder + 1) % contenders.length);
	const earlier = restart(holder);
	for (const contender of [other, earlier]) {
		contender.contend(name, () => undefined);
	}

	await advanceVirtualTime(clock, 500, 50);
	expect(earlier.heldLease(name)).toBeDefined();
	expect(other.heldLease(name)).toBeUndefined();
});
