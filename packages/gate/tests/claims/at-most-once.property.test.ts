import fc from 'fast-check';
import {expect, test} from 'vitest';
import {type ClaimResolution, type RecordedOutcome} from '../../src/types.js';
import {ClaimFleet, type ClaimGate} from '../support/claim-fleet.js';

/** What the test observed for one idempotency key. */
type KeyHistory = {
	runs: number;
	/** Resolutions of claims that began after a request with the key had run. */
	readonly resolutionsAfterRun: ClaimResolution[];
};

type Step = {
	readonly gate: number;
	readonly key: number;
	/** How a request ends after its claim is granted. */
	readonly ending: 'answered' | 'released' | 'unknown' | 'crash-before-run' | 'crash-after-run';
	/** Time between the claim and the end of its request. */
	readonly runMs: number;
	readonly pauseMs: number;
};

const steps = fc.array(fc.record({
	gate: fc.nat({max: 2}),
	key: fc.nat({max: 3}),
	ending: fc.constantFrom<Step['ending']>('answered', 'answered', 'released', 'unknown', 'crash-before-run', 'crash-after-run'),
	runMs: fc.constantFrom(0, 0, 50, 1500),
	pauseMs: fc.constantFrom(0, 0, 10, 100, 700),
}), {minLength: 5, maxLength: 30});

const faultProbabilities = fc.constantFrom(0.1, 0.4, 0.8);

const outcomeOf = (key: number): RecordedOutcome => ({status: 201, headers: {'x-key': String(key)}, bodyBase64: 'b2s='});

/** Three gates with claim stores over one faulty table service. A gate that crashes is replaced by a new one. */
class ClaimSimulation {
	readonly fleet: ClaimFleet;
	readonly histories = new Map<number, KeyHistory>();
	readonly #gates: ClaimGate[];
	#requests = 0;

	constructor(seed: number, faultProbability: number) {
		this.fleet = new ClaimFleet(seed);
		this.fleet.table.faultProbability = faultProbability;
		this.#gates = [0, 1, 2].map(() => this.fleet.createGate());
	}

	async request(step: Step): Promise<ClaimResolution> {
		const gate = this.#gates[step.gate]!;
		const requestId = `r${this.#requests++}`;
		const history = this.historyOf(step.key);
		const hadRun = history.runs > 0;
		const resolution = await gate.store.claim({
			requestId, team: 'red', idempotencyKey: `k${step.key}`, fingerprint: `f${step.key}`,
		});
		if (this.#gates[step.gate] !== gate) {
			// The gate crashed meanwhile: its request was never dispatched and its caller got no answer.
			return {type: 'unavailable'};
		}

		if (hadRun) {
			history.resolutionsAfterRun.push(resolution);
		}

		if (resolution.type === 'claimed') {
			this.#run(gate, requestId, step, history);
		}

		return resolution;
	}

	historyOf(key: number): KeyHistory {
		const history = this.histories.get(key) ?? {runs: 0, resolutionsAfterRun: []};
		this.histories.set(key, history);
		return history;
	}

	async flush(): Promise<void> {
		this.fleet.table.faultProbability = 0;
		const flushed = Promise.all(this.#gates.map(async gate => gate.store.flush()));
		await this.fleet.advanceTime(8000, 50);
		await flushed;
	}

	#run(gate: ClaimGate, requestId: string, step: Step, history: KeyHistory): void {
		const hasRun = step.ending !== 'released' && step.ending !== 'crash-before-run';
		history.runs += hasRun ? 1 : 0;
		this.fleet.clock.schedule(step.runMs, () => {
			this.#endRequest(gate, requestId, step);
		});
	}

	#endRequest(gate: ClaimGate, requestId: string, step: Step): void {
		switch (step.ending) {
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

test('no key runs twice when responses are lost, late or missing and gates crash', async () => {
	await fc.assert(fc.asyncProperty(fc.integer(), faultProbabilities, steps, async (seed, faultProbability, script) => {
		const simulation = new ClaimSimulation(seed, faultProbability);
		const answers: Array<Promise<ClaimResolution>> = [];
		for (const step of script) {
			answers.push(simulation.request(step));
			await simulation.fleet.advanceTime(step.pauseMs);
		}

		await simulation.flush();
		await Promise.all(answers);
		for (const [key, history] of simulation.histories) {
			expect(history.runs, `runs of key ${key}`).toBeLessThanOrEqual(1);
			expect(history.resolutionsAfterRun.map(({type}) => type)).not.toContain('claimed');
		}
	}), {seed: 42, numRuns: 60});
});

test('after faults end, a key that ran resolves to its outcome or to unknown, and a key that did not run can be claimed', async () => {
	await fc.assert(fc.asyncProperty(fc.integer(), faultProbabilities, steps, async (seed, faultProbability, script) => {
		const simulation = new ClaimSimulation(seed, faultProbability);
		const stepsWithoutCrash = script.filter(step => !step.ending.startsWith('crash'));
		const answers: Array<Promise<ClaimResolution>> = [];
		for (const step of stepsWithoutCrash) {
			answers.push(simulation.request(step));
			await simulation.fleet.advanceTime(step.pauseMs);
		}

		await simulation.flush();
		await Promise.all(answers);
		for (const [key, history] of simulation.histories) {
			const pending = simulation.request({
				gate: 0, key, ending: 'released', runMs: 0, pauseMs: 0,
			});
			await simulation.fleet.advanceTime(100);
			const resolution = await pending;
			expect(history.runs === 0 ? ['claimed'] : ['recorded', 'unknown']).toContain(resolution.type);
			if (resolution.type === 'recorded') {
				expect(resolution.outcome).toEqual(outcomeOf(key));
			}
		}
	}), {seed: 43, numRuns: 60});
});
