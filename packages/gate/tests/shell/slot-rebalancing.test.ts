/**
Tests the transfer of slots between gates over real sockets: skewed traffic, shares of teams at different gates, a graceful shutdown and a crash. No backend server may ever run more requests than it has slots.
*/
import {issueKey} from '@poplarnotch/common';
import {afterEach, expect, test} from 'vitest';
import {
	call, type RunningGate, TestFleet, waitFor,
} from '../support/test-fleet.js';

const totalSlots = 16;

/** Much longer than one process needs to forward a request, so that the slots limit the throughput. */
const runMs = 100;
const blueKey = issueKey('blue-1');

let fleet: TestFleet;
let traffic = new AbortController();
const callers: Array<Promise<void>> = [];

const stopTraffic = async (): Promise<void> => {
	traffic.abort();
	await Promise.all(callers);
};

afterEach(async () => {
	await stopTraffic();
	await fleet.close();
	callers.length = 0;
});

const startFleet = async (gates: number): Promise<readonly RunningGate[]> => {
	traffic = new AbortController();
	fleet = await TestFleet.start({
		settings: {
			'/teams/red/share': 3, '/teams/blue/share': 1, '/teams/blue/upperLimit': 100, '/teams/blue/keys/blue-1/hash': blueKey.secretHash,
		},
	});
	const started = await Promise.all(Array.from({length: gates}, async (_, index) => fleet.startGate(`gate-${index + 1}`)));
	await fleet.waitForMembership();
	await waitFor('all slots are held', () => totalHeldSlots(started) === totalSlots);
	return started;
};

const heldSlotsOf = (gate: RunningGate): number => {
	const {held} = gate.process.dump().slots as {readonly held: Readonly<Record<string, number>>};
	return Object.values(held).reduce((sum, count) => sum + count, 0);
};

const totalHeldSlots = (gates: readonly RunningGate[]): number => gates.reduce((sum, gate) => sum + heldSlotsOf(gate), 0);

const countRunningRequests = (): number => fleet.backends.records.reduce((sum, record) => sum + record.running, 0);

const expectNoServerOverfilled = (): void => {
	expect(fleet.backends.records.map(({overfilled}) => overfilled)).toEqual(fleet.backends.records.map(() => 0));
};

/** Starts `count` callers of a team that send requests to the gate one after another; counts successful answers. */
const keepBusy = (gate: RunningGate, count: number, keyText = fleet.key.text): {answers: number} => {
	const {signal} = traffic;
	const counts = {answers: 0};
	const callRepeatedly = async (): Promise<void> => {
		while (!signal.aborted) {
			const {status} = await call(`${gate.url}/q/pairings/list?ms=${runMs}`, {headers: {authorization: `Bearer ${keyText}`}});
			if (status === 0) {
				return;
			}

			counts.answers += status === 200 ? 1 : 0;
		}
	};

	callers.push(...Array.from({length: count}, callRepeatedly));
	return counts;
};

test('a gate with all the traffic receives most slots of the pool, and transfers them when other gates have traffic', async () => {
	const [first, second, third] = await startFleet(3);
	keepBusy(first!, 30);
	await waitFor('the busy gate holds most slots', () => heldSlotsOf(first!) >= totalSlots - 2);
	await waitFor('most slots are in use', () => countRunningRequests() >= totalSlots - 4);
	keepBusy(second!, 30);
	keepBusy(third!, 30);
	await waitFor('all three gates hold slots', () => [first!, second!, third!].every(gate => heldSlotsOf(gate) >= 4));
	await stopTraffic();
	await waitFor('no slot is lost', () => totalHeldSlots([first!, second!, third!]) === totalSlots);
	expectNoServerOverfilled();
});

test('teams receive their shares of the pool when each sends its requests to a different gate', async () => {
	const [first, second] = await startFleet(2);
	const red = keepBusy(first!, 60);
	const blue = keepBusy(second!, 60, blueKey.text);
	await waitFor('slots are divided 3 to 1', () => heldSlotsOf(first!) === 12 && heldSlotsOf(second!) === 4);
	const before = {red: red.answers, blue: blue.answers};
	await waitFor('many answers', () => red.answers - before.red + blue.answers - before.blue >= 400);
	const redAnswers = red.answers - before.red;
	const redFraction = redAnswers / (redAnswers + blue.answers - before.blue);
	expect(Math.abs(redFraction - 0.75)).toBeLessThan(0.05);
	expectNoServerOverfilled();
});

test('a gate that shuts down gracefully transfers its slots before it removes its registration', async () => {
	const gates = await startFleet(3);
	const [first, second, third] = gates;
	keepBusy(first!, 30);
	keepBusy(second!, 30);
	await waitFor('the stopping gate holds slots', () => heldSlotsOf(second!) >= 4);
	expect(await second!.process.drain()).toEqual({isWhole: true});
	expect(heldSlotsOf(second!)).toBe(0);
	await waitFor('the others hold all slots', () => totalHeldSlots([first!, third!]) === totalSlots);
	await waitFor('most slots are in use', () => countRunningRequests() >= totalSlots - 4);
	expectNoServerOverfilled();
});

test('slots of a crashed gate are allocated again when it is replaced, not before', async () => {
	const [first, second, third] = await startFleet(3);
	keepBusy(first!, 30);
	keepBusy(second!, 30);
	await waitFor('the gate to be killed holds slots', () => heldSlotsOf(second!) >= 4);
	await second!.process.kill();
	const lostSlots = heldSlotsOf(second!);
	await waitFor('the first gate receives the slots of the third one', () => heldSlotsOf(first!) > totalSlots / 2 || heldSlotsOf(third!) === 0);
	expect(totalHeldSlots([first!, third!])).toBeLessThanOrEqual(totalSlots - lostSlots);
	const next = await fleet.startGate('gate-2');
	keepBusy(next, 30);
	await waitFor('all slots are held again', () => totalHeldSlots([first!, next, third!]) === totalSlots);
	await waitFor('most slots are in use', () => countRunningRequests() >= totalSlots - 4);
	expectNoServerOverfilled();
});

test.each([[1, 2], [2, 1]])('slots of the remaining gates are rebalanced while crashed gate %i is not replaced', async (crashed, other) => {
	const gates = await startFleet(3);
	keepBusy(gates[0]!, 30);
	await waitFor('the busy gate holds most slots', () => heldSlotsOf(gates[0]!) >= totalSlots - 2);
	await gates[crashed]!.process.kill();
	keepBusy(gates[other]!, 30);
	await waitFor('the other gate receives slots', () => heldSlotsOf(gates[other]!) >= 4);
	expect(totalHeldSlots(gates)).toBeLessThanOrEqual(totalSlots);
	expectNoServerOverfilled();
});
