import fc from 'fast-check';
import {expect, test} from 'vitest';
import {type ClaimResolution, type RecordedOutcome} from '../../src/types.js';
import {ClaimFleet, type ClaimGate} from '../support/claim-fleet.js';

/** What was observed of one idempotency key. */
type KeyHistory = {
	runs: number;
	/** Settlements seen while the key's request had run before. */
	readonly answersAfterRun: ClaimResolution[];
};

type Step = {
	readonly gate: number;
	readonly key: number;
	/** What happens to a request that wins its claim. */
	readonly fate: 'answered' | 'released' | 'unknown' | 'crash-before-run' | 'crash-after-run';
	/** Time between the claim and its request's end. */
	readonly runMs: number;
	readonly pauseMs: number;
};

const steps = fc.array(fc.record({
	gate: fc.nat({max: 2}),
	key: fc.nat({max: 3}),
	fate: fc.constantFrom<Step['fate']>('answered', 'answered', 'released', 'unknown', 'crash-before-run', 'crash-after-run'),
	runMs: fc.constantFrom(0, 0, 50, 1500),
	pauseMs: fc.constantFrom(0, 0, 10, 100, 700),
}), {minLength: 5, maxLength: 30});

const faultShares = fc.constantFrom(0.1, 0.4, 0.8);

const outcomeOf = (key: number): RecordedOutcome => ({status: 201, headers: {'x-key': String(key)}, bodyBase64: 'b2s='});

class Scene {
	readonly fleet: ClaimFleet;
	readonly histories = new Map<number, KeyHistory>();
	readonly #gates: ClaimGate[];
	#requests = 0;

	constructor(seed: number, faultShare: number) {
		this.fleet = new ClaimFleet(seed);
		this.fleet.table.faultShare = faultShare;
		this.#gates = [0, 1, 2].map(() => this.fleet.createGate());
	}

	async request(step: Step): Promise<ClaimResolution> {
		const gate = this.#gates[step.gate]!;
		const requestId = `r${this.#requests++}`;
		const history = this.historyOf(step.key);
		const hadRun = history.runs > 0;
		const settlement = await gate.store.claim({
			requestId, team: 'red', idempotencyKey: `k${step.key}`, fingerprint: `f${step.key}`,
		});
		if (this.#gates[step.gate] !== gate) {
			// The gate crashed meanwhile: its request was never dispatched and nobody was answered.
			return {type: 'unavailable'};
		}

		if (hadRun) {
			history.answersAfterRun.push(settlement);
		}

		if (settlement.type === 'claimed') {
			this.#run(gate, requestId, step, history);
		}

		return settlement;
	}

	historyOf(key: number): KeyHistory {
		const history = this.histories.get(key) ?? {runs: 0, answersAfterRun: []};
		this.histories.set(key, history);
		return history;
	}

	async flush(): Promise<void> {
		this.fleet.table.faultShare = 0;
		const flushed = Promise.all(this.#gates.map(async gate => gate.store.flush()));
		await this.fleet.pass(8000, 50);
		await flushed;
	}

	#run(gate: ClaimGate, requestId: string, step: Step, history: KeyHistory): void {
		const hasRun = step.fate !== 'released' && step.fate !== 'crash-before-run';
		history.runs += hasRun ? 1 : 0;
		this.fleet.clock.schedule(step.runMs, () => {
			this.#meetFate(gate, requestId, step);
		});
	}

	#meetFate(gate: ClaimGate, requestId: string, step: Step): void {
		switch (step.fate) {
			case 'answered': {
				void gate.store.record(requestId, outcomeOf(step.key));
				break;
			}

			case 'unknown': {
				gate.store.recordUnknown(requestId);
				break;
			}

			case 'released': {
				gate.store.release(requestId);
				break;
			}

			case 'crash-after-run':
			case 'crash-before-run': {
				this.#crash(step.gate, gate);
				break;
			}
		}
	}

	#crash(index: number, gate: ClaimGate): void {
		if (this.#gates[index] === gate) {
			this.fleet.goneHolders.add(gate.holder);
			this.#gates[index] = this.fleet.createGate();
		}
	}
}

test('no key runs twice, whatever answers are lost, late or missing and whichever gates crash', async () => {
	await fc.assert(fc.asyncProperty(fc.integer(), faultShares, steps, async (seed, faultShare, script) => {
		const scene = new Scene(seed, faultShare);
		const answers: Array<Promise<ClaimResolution>> = [];
		for (const step of script) {
			answers.push(scene.request(step));
			await scene.fleet.pass(step.pauseMs);
		}

		await scene.flush();
		await Promise.all(answers);
		for (const [key, history] of scene.histories) {
			expect(history.runs, `runs of key ${key}`).toBeLessThanOrEqual(1);
			expect(history.answersAfterRun.map(({type}) => type)).not.toContain('claimed');
		}
	}), {seed: 42, numRuns: 60});
});

test('when faults are over, a key that ran is answered with its outcome or as unknown, and one that did not run can be claimed', async () => {
	await fc.assert(fc.asyncProperty(fc.integer(), faultShares, steps, async (seed, faultShare, script) => {
		const scene = new Scene(seed, faultShare);
		const gentle = script.filter(step => !step.fate.startsWith('crash'));
		const answers: Array<Promise<ClaimResolution>> = [];
		for (const step of gentle) {
			answers.push(scene.request(step));
			await scene.fleet.pass(step.pauseMs);
		}

		await scene.flush();
		await Promise.all(answers);
		for (const [key, history] of scene.histories) {
			const pending = scene.request({
				gate: 0, key, fate: 'released', runMs: 0, pauseMs: 0,
			});
			await scene.fleet.pass(100);
			const settlement = await pending;
			expect(history.runs === 0 ? ['claimed'] : ['recorded', 'unknown']).toContain(settlement.type);
			if (settlement.type === 'recorded') {
				expect(settlement.outcome).toEqual(outcomeOf(key));
			}
		}
	}), {seed: 43, numRuns: 60});
});
