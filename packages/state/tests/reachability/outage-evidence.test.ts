/**
Tests when a process may conclude that no process reaches the table service.
*/
import {VirtualClock} from '@poplarnotch/common';
import {UnavailableError} from '@poplarnotch/platform';
import {
	beforeEach, describe, expect, test,
} from 'vitest';
import {Deferred} from '../../src/deferred.js';
import {OutageEvidence, type OutagePeer, ReachabilityMeter} from '@poplarnotch/state';

const peersOf = (...names: readonly string[]): readonly OutagePeer[] => names.map(url => ({url, dataCentre: url.slice(0, 1)}));

/** A clock of a machine that can be suspended: only the wall clock goes on meanwhile. */
class SuspendableClock extends VirtualClock {
	suspendedMs = 0;

	override wallTimeMs(): number {
		return super.wallTimeMs() + this.suspendedMs;
	}
}

let clock: SuspendableClock;
let meter: ReachabilityMeter;
let peers: readonly OutagePeer[] | undefined;
let evidence: OutageEvidence;

const failing = {isFailing: true, answeredAgeMs: 1500};

const callStore = async (isAnswered: boolean): Promise<void> => {
	await meter.measure(async () => {
		if (!isAnswered) {
			throw new UnavailableError('down');
		}
	}, false, () => false).catch(() => undefined);
};

beforeEach(async () => {
	clock = new SuspendableClock();
	meter = new ReachabilityMeter(clock);
	peers = peersOf('a1', 'a2', 'a3', 'a4');
	evidence = new OutageEvidence({meter, peers: () => peers, clock});
	await callStore(true);
	clock.advance(100);
	await callStore(false);
	clock.advance(1000);
});

const record = (answer: typeof failing, ...urls: readonly string[]): void => {
	for (const url of urls) {
		evidence.record(url, answer, evidence.queryTime());
	}
};

test('half of the peers must have answered that their calls fail', () => {
	record(failing, 'a1');
	expect(evidence.hasOutageEvidence()).toBe(false);
	record(failing, 'a2');
	expect(evidence.hasOutageEvidence()).toBe(true);
});

test('one peer that has reached the table service since the failures began refutes the outage; one that made no call since does not', () => {
	record(failing, 'a1', 'a2', 'a3');
	record({isFailing: false, answeredAgeMs: 1100}, 'a4');
	expect(evidence.hasOutageEvidence()).toBe(true);
	record({isFailing: false, answeredAgeMs: 900}, 'a4');
	expect(evidence.hasOutageEvidence()).toBe(false);
});

test('a data centre without any answer may be separated by the network and still reach the table service', () => {
	peers = peersOf('a1', 'a2', 'a3', 'b1');
	record(failing, 'a1', 'a2', 'a3');
	expect(evidence.hasOutageEvidence()).toBe(false);
	record(failing, 'b1');
	expect(evidence.hasOutageEvidence()).toBe(true);
});

describe('evidence is used only while it is fresh', () => {
	test('it expires', () => {
		record(failing, 'a1', 'a2');
		clock.advance(1001);
		expect(evidence.hasOutageEvidence()).toBe(false);
	});

	test('the age of an answer is counted from when it was requested', () => {
		const time = evidence.queryTime();
		clock.advance(1001);
		evidence.record('a1', failing, time);
		evidence.record('a2', failing, time);
		expect(evidence.hasOutageEvidence()).toBe(false);
	});

	test('answers from before the machine was suspended do not count, although the monotonic clock stood still', () => {
		record(failing, 'a1', 'a2');
		clock.suspendedMs = 5000;
		expect(evidence.hasOutageEvidence()).toBe(false);
		record(failing, 'a1', 'a2');
		expect(evidence.hasOutageEvidence()).toBe(true);
	});

	test('an answered call of this process ends it', async () => {
		record(failing, 'a1', 'a2');
		await callStore(true);
		expect(evidence.hasOutageEvidence()).toBe(false);
	});
});

test('a process without peers goes by its own calls, one that has never read its peers has no evidence', () => {
	peers = [];
	expect(evidence.hasOutageEvidence()).toBe(true);
	peers = undefined;
	expect(evidence.hasOutageEvidence()).toBe(false);
});

test('calls without any answer count as failed before their time limit, unless others are answered', async () => {
	await callStore(true);
	void meter.measure(async () => new Deferred().promise, false, () => false);
	clock.advance(699);
	expect(meter.failingSinceMs).toBeUndefined();
	clock.advance(1);
	expect(meter.failingSinceMs).toBeDefined();
	await callStore(true);
	expect(meter.failingSinceMs).toBeUndefined();
});
