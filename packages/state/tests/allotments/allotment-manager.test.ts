import {expect, test} from 'vitest';
import {emptyFleetSettings, SeededRandom, VirtualClock} from '@poplarnotch/common';
import {advanceVirtualTime, MemoryTableService} from '@poplarnotch/standin';
import {AllotmentManager} from '@poplarnotch/state';

const team = 'red';
const settings = {...emptyFleetSettings, teams: new Map([[team, {share: 1, upperLimit: 12}]])};
const members = {
	view: () => undefined,
	onChange: () => undefined,
};

test('capacity is not returned for requests that were started since the last report', async () => {
	const clock = new VirtualClock();
	const table = new MemoryTableService();
	const manager = new AllotmentManager({
		table, members, self: {processId: 'gate-1', incarnation: 3}, clock, random: new SeededRandom(1),
	});
	let demand = {team, running: 0, waiting: 12};
	manager.beforeDecision(() => {
		manager.reportDemand(demand);
	});
	manager.applySettings(settings);
	manager.start();
	await advanceVirtualTime(clock, 500);
	expect(manager.amountOf(team)).toBe(12);
	demand = {team, running: 5, waiting: 0};
	const released = manager.releaseAll(10_000);
	await advanceVirtualTime(clock, 500);
	expect(table.valueOf('allotments/red')).toEqual({held: 5});
	demand = {team, running: 0, waiting: 0};
	await advanceVirtualTime(clock, 500);
	await released;
	expect(table.valueOf('allotments/red')).toEqual({held: 0});
	manager.close();
});
