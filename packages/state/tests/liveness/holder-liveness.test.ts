/**
The decision that a holder is lost: made in time, and not from silence that has another cause.
*/
import {beforeEach, expect, test} from 'vitest';
import {decodeDatagram, encodeDatagram} from '../../src/liveness/datagrams.js';
import {HolderLiveness} from '../../src/liveness/holder-liveness.js';
import {
	type LivenessEffect, type LivenessMessage, livenessMessageSchema, type Successor,
} from '../../src/liveness/types.js';

const token = 7;
const successors: readonly Successor[] = ['a', 'b', 'c', 'h'].map(processId => ({processId, cpuMillicores: 300}));

/** A process under test, which follows the holder `h`. */
class Process {
	readonly liveness: HolderLiveness;
	readonly suspectedAtMs: number[] = [];
	readonly acquiredReleasedAtMs: number[] = [];
	heldToken: number | undefined;
	peers = successors;
	#nextTickAtMs = 0;
	readonly #sequences = new Map<string, number>();

	constructor(readonly processId: string, startedAtMs = -100_000) {
		this.liveness = new HolderLiveness({
			processId, incarnation: 1, detectionMs: 600, startedAtMs,
		});
	}

	situation(nowMs: number) {
		return {nowMs, heldToken: this.heldToken, successors: this.peers};
	}

	/** Ticks at the times that the decision asks for. */
	runUntil(untilMs: number): void {
		while (this.#nextTickAtMs <= untilMs) {
			this.tick(this.#nextTickAtMs);
		}
	}

	tick(nowMs: number): void {
		this.record(this.liveness.tick(this.situation(nowMs)), nowMs);
		this.#nextTickAtMs = nowMs + this.liveness.nextDelayMs(this.situation(nowMs));
	}

	receive(nowMs: number, message: Partial<LivenessMessage> & {readonly type: LivenessMessage['type']; readonly processId: string}): readonly LivenessEffect[] {
		this.runUntil(nowMs);
		const sequence = (this.#sequences.get(message.processId) ?? 0) + 1;
		this.#sequences.set(message.processId, sequence);
		const complete = livenessMessageSchema.parse({
			incarnation: 1, sequence, uptimeMs: 100_000, token, silenceMs: 0, ...message,
		});
		const effects = this.liveness.receive(complete, this.situation(nowMs));
		if (message.type === 'released') {
			this.tick(nowMs);
		}

		return effects;
	}

	record(effects: readonly LivenessEffect[], nowMs: number): void {
		this.suspectedAtMs.push(...effects.filter(({type}) => type === 'suspect').map(() => nowMs));
		this.acquiredReleasedAtMs.push(...effects.filter(({type}) => type === 'acquireReleased').map(() => nowMs));
	}
}

let process: Process;

beforeEach(() => {
	process = new Process('a');
	process.receive(0, {type: 'heartbeat', processId: 'h'});
});

test('a silent holder is suspected after 600 ms by the first successor, and 150 ms later by the second', () => {
	const second = new Process('b');
	second.receive(0, {type: 'heartbeat', processId: 'h'});
	for (const atMs of [100, 400]) {
		second.receive(atMs, {type: 'report', processId: 'a', silenceMs: atMs});
	}

	process.runUntil(800);
	second.runUntil(800);
	expect(process.suspectedAtMs[0]).toBe(600);
	expect(second.suspectedAtMs[0]).toBe(750);
});

test('a successor that is not heard is not waited for', () => {
	const second = new Process('b');
	second.receive(0, {type: 'heartbeat', processId: 'h'});
	second.runUntil(800);
	expect(second.suspectedAtMs[0]).toBe(600);
});

test('a heartbeat withdraws the suspicion', () => {
	process.runUntil(700);
	expect(process.receive(710, {type: 'heartbeat', processId: 'h'})).toContainEqual({type: 'clear', token});
});

test('a holder that another successor hears is not suspected until that one has not heard it for 450 ms', () => {
	for (let atMs = 100; atMs <= 3000; atMs += 300) {
		process.receive(atMs, {type: 'report', processId: 'b', silenceMs: 100});
	}

	process.runUntil(3100);
	expect(process.suspectedAtMs).toEqual([]);
	process.runUntil(4000);
	expect(process.suspectedAtMs[0]).toBe(2800 - 100 + 450);
});

test('a successor that hears the holder answers a report of doubt at once', () => {
	process.receive(450, {type: 'heartbeat', processId: 'h'});
	const answers = process.receive(500, {type: 'report', processId: 'b', silenceMs: 460});
	expect(answers).toMatchObject([{type: 'send', to: 'b', message: {type: 'report', silenceMs: 50}}]);
});

test('a process that was paused counts the silence from the end of its pause', () => {
	process.runUntil(250);
	process.tick(2000);
	process.runUntil(2590);
	expect(process.suspectedAtMs).toEqual([]);
	process.runUntil(2700);
	expect(process.suspectedAtMs[0]).toBe(2600);
});

test('the loss of two heartbeats in sequence is no reason for suspicion', () => {
	for (const atMs of [450, 900, 1350, 1800]) {
		process.receive(atMs, {type: 'heartbeat', processId: 'h'});
	}

	expect(process.suspectedAtMs).toEqual([]);
});

test('a holder that was never heard, or of which another successor knows a newer one, is not suspected', () => {
	const unaware = new Process('a');
	unaware.runUntil(3000);
	expect(unaware.suspectedAtMs).toEqual([]);
	for (let atMs = 100; atMs <= 2000; atMs += 300) {
		process.receive(atMs, {
			type: 'report', processId: 'b', token: token + 1, silenceMs: 5000,
		});
	}

	expect(process.suspectedAtMs).toEqual([]);
});

test('a process that has lost the lease suspects its successor only after 2 s', () => {
	process.heldToken = token + 1;
	process.runUntil(300);
	process.heldToken = undefined;
	process.receive(400, {type: 'heartbeat', processId: 'b', token: token + 2});
	process.runUntil(2300);
	expect(process.suspectedAtMs).toEqual([]);
	process.runUntil(2650);
	expect(process.suspectedAtMs).toEqual([2400]);
});

test('at most three attempts are made in one suspicion, since each costs a read of the store', () => {
	process.runUntil(20_000);
	expect(process.suspectedAtMs).toHaveLength(3);
});

test('a repeated message and a message of an earlier run change nothing', () => {
	process.receive(100, {
		type: 'heartbeat', processId: 'h', sequence: 50, incarnation: 2,
	});
	process.receive(300, {
		type: 'heartbeat', processId: 'h', sequence: 50, incarnation: 2,
	});
	process.receive(500, {
		type: 'heartbeat', processId: 'h', sequence: 90, incarnation: 1,
	});
	process.runUntil(800);
	expect(process.suspectedAtMs[0]).toBe(700);
});

test('a later run of the earlier holder shows that it is gone', () => {
	process.runUntil(700);
	process.heldToken = token + 1;
	process.runUntil(1000);
	expect(process.liveness.isHolderGone(token)).toBe(false);
	const effects = process.receive(1100, {
		type: 'report', processId: 'h', incarnation: 2, token: 0,
	});
	expect(effects).toContainEqual({type: 'earlierHolderHeard', isGone: true});
	expect(process.liveness.isHolderGone(token)).toBe(true);
});

test('a released lease is acquired at once by the first successor, and 150 ms later by the second', () => {
	const second = new Process('b');
	second.receive(0, {type: 'heartbeat', processId: 'h'});
	second.receive(50, {type: 'report', processId: 'a'});
	for (const each of [process, second]) {
		for (const atMs of [100, 130, 160]) {
			each.receive(atMs, {type: 'released', processId: 'h'});
		}

		each.runUntil(300);
	}

	expect(process.acquiredReleasedAtMs).toEqual([100]);
	expect(second.acquiredReleasedAtMs).toEqual([250]);
});

test.each([
	{uptimeMs: 9000, acquiredAtMs: 250},
	{uptimeMs: 16_000, acquiredAtMs: 100},
])('the successor that has restarted $uptimeMs ms ago comes first only during a rolling restart', ({uptimeMs, acquiredAtMs}) => {
	process.receive(50, {
		type: 'report', processId: 'b', incarnation: 2, uptimeMs,
	});
	process.receive(100, {type: 'released', processId: 'h'});
	process.runUntil(300);
	expect(process.acquiredReleasedAtMs).toEqual([acquiredAtMs]);
});

test('a smaller successor that has just restarted does not come before a larger one', () => {
	process.peers = successors.map(({processId}) => ({processId, cpuMillicores: processId === 'a' ? 1350 : 300}));
	process.receive(50, {
		type: 'report', processId: 'b', incarnation: 2, uptimeMs: 9000,
	});
	process.receive(100, {type: 'released', processId: 'h'});
	process.runUntil(300);
	expect(process.acquiredReleasedAtMs).toEqual([100]);
});

test('a datagram is accepted only with the HMAC of its content, and stays below 300 bytes', () => {
	const message: LivenessMessage = {
		type: 'report', processId: 'edge-host-with-a-long-name.dc-1.example', incarnation: 1_796_418_000_123, sequence: 1_000_000, uptimeMs: 86_400_000, token: 123_456, silenceMs: 150,
	};
	const datagram = encodeDatagram('secret', message);
	expect(datagram.length).toBeLessThan(300);
	expect(decodeDatagram('secret', datagram)).toEqual(message);
	expect(decodeDatagram('other secret', datagram)).toBeUndefined();
	for (const index of [0, 11, 12, datagram.length - 2]) {
		const forged = Uint8Array.from(datagram);
		forged[index] = (forged[index]! + 1) % 256;
		expect(decodeDatagram('secret', forged)).toBeUndefined();
	}

	expect(decodeDatagram('secret', datagram.subarray(0, 12))).toBeUndefined();
	expect(decodeDatagram('secret', encodeDatagram('secret', {type: 'heartbeat'} as LivenessMessage))).toBeUndefined();
});

test('a process that becomes a successor again does not suspect a holder that sent it nothing meanwhile', () => {
	process.peers = successors.filter(({processId}) => processId !== 'a');
	process.runUntil(10_000);
	process.peers = successors;
	process.runUntil(13_000);
	expect(process.suspectedAtMs).toEqual([]);
	process.receive(13_100, {type: 'heartbeat', processId: 'h'});
	process.runUntil(13_900);
	expect(process.suspectedAtMs).toEqual([13_700]);
});
