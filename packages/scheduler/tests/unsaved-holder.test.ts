/**
Holders whose progress is not stored, one after the other: all that is known of ended tasks is what the workers list. Guards against a takeover that leaves out a worker, and tasks that are started again before its list is read (TWICE).
*/
import {expect, test} from 'vitest';
import {SeededRandom} from '@poplarnotch/common';
import {jobOf, stepOf} from './support/jobs.js';
import {SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';

const troubles = ['kill', 'freeze', 'cut-store', 'lapse', 'cut-worker', 'restart-worker', 'restart-late', 'crash-worker', 'drain', 'wave', 'lost-orders', 'slow-store'] as const;

const runOnce = async (seed: number): Promise<void> => {
	const random = new SeededRandom(seed * 7919);
	const draw = (count: number): number => Math.floor(random.next() * count);
	const simulation = new SchedulerSimulation({
		seed, processes: 4, workersPerPool: 8, standbyMachines: 2, successors: 2,
	});
	const refuse = (isRejected: (key: string) => boolean): void => {
		for (const {table} of simulation.processes) {
			table.isRejected = isRejected;
		}
	};

	/** A draining worker is about to leave with its machine, so it is left alone. */
	const randomWorkerId = (): string | undefined => {
		const ids = [...simulation.fleet.workers].filter(([, {isUp, isDraining}]) => isUp && !isDraining).map(([id]) => id);
		return ids[draw(ids.length)];
	};

	let waveCount = 0;
	const inject = (trouble: typeof troubles[number]): void => {
		const {holder} = simulation;
		const workerId = randomWorkerId();
		switch (trouble) {
			case 'kill': {
				if (holder !== undefined) {
					simulation.kill(holder);
					simulation.addProcess();
				}

				break;
			}

			case 'freeze': {
				holder?.clock.freeze(500 + draw(6000), draw(2) === 0 ? 'machine' : 'process');
				break;
			}

			case 'cut-store': {
				if (holder !== undefined) {
					holder.table.isDown = true;
					simulation.clock.schedule(500 + draw(5000), () => {
						holder.table.isDown = false;
					});
				}

				break;
			}

			case 'lapse': {
				simulation.lapseRegistrations(500 + draw(14_000));
				break;
			}

			case 'cut-worker': {
				if (workerId !== undefined) {
					simulation.cutWorker(workerId, 200 + draw(8000));
				}

				break;
			}

			case 'restart-worker': {
				if (workerId !== undefined) {
					simulation.restartWorker(workerId);
				}

				break;
			}

			case 'restart-late': {
				if (workerId !== undefined) {
					simulation.restartWorkerLate(workerId, 100 + draw(1000), draw(1500));
				}

				break;
			}

			case 'crash-worker': {
				if (workerId !== undefined) {
					simulation.crashWorker(workerId);
				}

				break;
			}

			case 'drain': {
				if (workerId !== undefined) {
					simulation.drainWorker(workerId);
				}

				break;
			}

			case 'wave': {
				simulation.orderWave({
					waveId: ++waveCount, machineIds: [...simulation.machines.keys()].filter(() => draw(2) === 0), withinMs: 10_000, concurrency: 3,
				});
				break;
			}

			case 'lost-orders': {
				Object.assign(simulation.faults, {lostOrderRate: 0.15, lateOrderMs: 1500, lostMachineAnswerRate: 0.4});
				simulation.clock.schedule(2000, () => {
					Object.assign(simulation.faults, {lostOrderRate: 0, lostMachineAnswerRate: 0});
				});
				break;
			}

			case 'slow-store': {
				for (const {table} of simulation.processes) {
					table.latencyMs = 240;
					simulation.clock.schedule(3000, () => {
						table.latencyMs = 4;
					});
				}

				break;
			}
		}
	};

	simulation.fleet.behaviour.runMs = () => 50 + draw(400);
	await simulation.run(takeoverMs);
	const total = 120;
	let nextTroubleMs = 0;
	for (let count = 1; count <= total; count++) {
		// Nothing of two thirds of the time is stored.
		refuse(key => count % 60 < 40 && (key.endsWith('/progress') || key.startsWith('control/waves/')));
		if (simulation.hasRunningProcess) {
			void simulation.submit(jobOf(count, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 5}), stepOf({taskCount: 1, after: [0]})]}));
		}

		if (simulation.clock.nowMs() >= nextTroubleMs) {
			inject(troubles[draw(troubles.length)]!);
			nextTroubleMs = simulation.clock.nowMs() + draw(1200);
		}

		await simulation.run(100);
	}

	refuse(() => false);
	await simulation.run(25_000);
	simulation.close();
	expect(simulation.fleet.brokenPromises, `seed ${seed}`).toEqual([]);
	expect(simulation.fleet.starts.length).toBeGreaterThan(total);
};

test.each([1, 2, 3, 4, 5, 6])('no task is started again whose end a worker lists that can be heard, although nothing of it is stored: seed %i', runOnce, 120_000);
