/**
Which machines are ordered away right after a takeover, and by a maintenance wave during a burst.
*/
import {expect, test} from 'vitest';
import {
	reduceScheduler, type SchedulerEffect, SchedulerState,
} from '../../src/index.js';
import {jobOf, stepOf} from '../support/jobs.js';
import {configurationOf, queueOf} from '../support/scheduler-simulation.js';
import {type EventBody} from '../support/event-body.js';

const capacity = {cpuMillicores: 8000, memoryMb: 16_000, accelerators: 0};
const machinesPerPool = 30;
const pools = ['draws', 'watches'];

/** A lease holder that forecasts bursts, with two pools of idle machines. */
class Holder {
	readonly state = new SchedulerState(undefined, 'bursts');
	nowMs = 1000;
	readonly #machines = pools.flatMap(pool => Array.from({length: machinesPerPool}, (_value, index) => ({
		machineId: `${pool}-${index}`, pool, dataCentre: 'dc', state: 'up' as const, capacity, workerId: `w-${pool}-${index}`,
	})));

	constructor({hasStandby}: {readonly hasStandby: boolean}) {
		const names = hasStandby ? [...pools, 'standby'] : pools;
		this.dispatch({
			type: 'configured', configuration: configurationOf(2, {
				pools: new Map(names.map(name => [name, {name, isStandby: name === 'standby', enforcesCapacity: false}])),
				queues: new Map(pools.map(name => [name, queueOf({name, pool: name})])),
			}),
		});
		this.dispatch({
			type: 'workersListed', workers: this.#machines.map(({workerId, pool}) => ({
				workerId, pool, address: `${workerId}:1`, dataCentre: 'dc', isDraining: false, capacity, labels: [], rack: 'r', bornWallMs: 1, coldLeftMs: 0,
			})),
		});
		this.dispatch({type: 'leaseWon', fencingToken: 1});
		this.dispatch({type: 'machinesListed', machines: this.#machines, sentAtMs: this.nowMs});
		for (const {workerId} of this.#machines) {
			this.dispatch({
				type: 'polled', workerId, sentAtMs: this.nowMs, sentAcknowledgement: 0, answer: {
					type: 'report', report: {
						clockMs: 0, bornWallMs: 1, running: [], finished: [],
					},
				},
			});
		}
	}

	dispatch(event: EventBody): readonly SchedulerEffect[] {
		return reduceScheduler(this.state, {...event, nowMs: this.nowMs, wallMs: this.nowMs}).effects;
	}

	/** Lets the queue of `draws` burst for half a second. */
	burst(): void {
		for (let number = 1; number <= 20; number++) {
			const job = jobOf(number, {queue: 'draws', acceptedWallMs: this.nowMs, steps: [stepOf({taskCount: 1})]});
			this.dispatch({type: 'jobsChanged', changes: [{type: 'accepted', job, rowKey: job.jobId}]});
			this.round();
		}
	}

	orderWave(withinMs: number): void {
		const machineIds = this.#machines.map(({machineId}) => machineId);
		this.dispatch({
			type: 'wavesOrdered', waves: [{
				waveId: 1, machineIds, withinMs, concurrency: 50,
			}],
		});
	}

	/** Runs one round and returns the machines that it orders to move or to be maintained. */
	round(): readonly string[] {
		this.nowMs += 25;
		return this.dispatch({type: 'tick'}).flatMap(effect => effect.type === 'move' || effect.type === 'maintain' ? [effect.machineId] : []);
	}
}

test('after a takeover at most 20 machines are ordered in a round, so that these orders do not delay the starts of tasks', () => {
	const holder = new Holder({hasStandby: true});
	holder.nowMs += 2000;
	expect(holder.round()).toHaveLength(20);
	expect(holder.round()).toHaveLength(20);
	holder.nowMs += 2000;
	expect(holder.round().length).toBeGreaterThan(0);
});

test('the limit holds for a wave as well, and ends 3 s after the takeover', () => {
	const holder = new Holder({hasStandby: false});
	holder.orderWave(60_000);
	expect(holder.round()).toHaveLength(20);
	const later = new Holder({hasStandby: false});
	later.nowMs += 3000;
	later.orderWave(60_000);
	expect(later.round()).toHaveLength(50);
});

test('a wave leaves the machines of a pool in a burst while it can still end in time', () => {
	const holder = new Holder({hasStandby: false});
	holder.nowMs += 4000;
	holder.burst();
	holder.orderWave(60_000);
	const ordered = holder.round();
	expect(ordered).toHaveLength(machinesPerPool);
	expect(ordered.every(machineId => machineId.startsWith('watches'))).toBe(true);
});

test('a wave that is short of time takes machines of a pool in a burst as well, after the others', () => {
	const holder = new Holder({hasStandby: false});
	holder.nowMs += 4000;
	holder.burst();
	holder.orderWave(8000);
	const ordered = holder.round();
	expect(ordered.slice(0, machinesPerPool).every(machineId => machineId.startsWith('watches'))).toBe(true);
	expect(ordered.length).toBeGreaterThan(machinesPerPool);
});
