import fc from 'fast-check';
import {expect, test} from 'vitest';
import {VirtualClock} from '@poplarnotch/common';
import {advanceVirtualTime, type CallOutcome, UnreliableTable} from '@poplarnotch/standin';
import {type Member, MemberRegistration} from '@poplarnotch/state';

const fate: fc.Arbitrary<CallOutcome> = fc.record({
	type: fc.constantFrom('answered' as const, 'answered' as const, 'refused' as const, 'answerLost' as const, 'late' as const),
	delayMs: fc.nat(200),
});

const identityOf = (runId: string) => ({
	processId: 'gate-1', role: 'gate' as const, host: 'host-1', dataCentre: 'dc-1', region: 'region-1', operationsUrl: 'http://127.0.0.1:1', runId,
});

test('of two runs of a process the later one stays registered and the earlier one is notified that it was replaced, under any failures of calls', async () => {
	await fc.assert(fc.asyncProperty(fc.array(fate, {maxLength: 20}), fc.integer({min: 1, max: 12_000}), async (fates, secondStartsMs) => {
		const clock = new VirtualClock();
		const table = new UnreliableTable(clock, fates);
		const members: Array<Member | undefined> = [undefined, undefined];
		const runs = [0, 1].map(index => new MemberRegistration({table, identity: identityOf(`run-${index}`), clock}));
		const start = async (index: number): Promise<void> => {
			members[index] = await runs[index]!.register();
		};

		void start(0);
		clock.schedule(secondStartsMs, () => {
			void start(1);
		});
		await advanceVirtualTime(clock, 40_000, 50);
		expect(runs.filter(run => run.isReplaced)).toHaveLength(1);
		const survivor = runs.findIndex(run => !run.isReplaced);
		const row = table.inner.valueOf('members/gate-1');
		expect(row).toMatchObject({runId: `run-${survivor}`});
		const [stored] = await table.inner.readRows(['members/gate-1']);
		expect(stored!.version).toBe(members[survivor]!.incarnation);
		const other = members[1 - survivor];
		expect(other === undefined || other.incarnation < members[survivor]!.incarnation).toBe(true);
		for (const run of runs) {
			run.close();
		}
	}), {seed: 3, numRuns: 30});
});

test('a process that leaves deletes its rows, even if calls fail', async () => {
	const clock = new VirtualClock();
	const table = new UnreliableTable(clock, [
		{type: 'answered', delayMs: 1}, {type: 'answerLost', delayMs: 1}, {type: 'answered', delayMs: 1}, {type: 'refused', delayMs: 1}, {type: 'late', delayMs: 1000},
	]);
	const run = new MemberRegistration({table, identity: identityOf('run-1'), clock});
	const registered = run.register();
	await advanceVirtualTime(clock, 2000);
	expect(await registered).toMatchObject({processId: 'gate-1', incarnation: 1});
	const left = run.leave();
	await advanceVirtualTime(clock, 5000);
	await left;
	expect(table.inner.valueOf('members/gate-1')).toBeUndefined();
	expect(table.inner.valueOf('members/gate-1/heartbeat')).toBeUndefined();
});
