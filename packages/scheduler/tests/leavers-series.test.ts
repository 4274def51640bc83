/**
Planned hand-overs of all kinds beside workers that leave or are replaced with the ends that they have listed: a holder is told to stop, yields to a larger process, or is taken for lost while it only stands still. No task is started after an end that was taken note of, and all jobs are done.
*/
import process from 'node:process';
import {SeededRandom} from '@poplarnotch/common';
import {expect, test} from 'vitest';
import {jobOf, stepOf} from './support/jobs.js';
import {configurationWithoutStandby, SchedulerSimulation, takeoverMs} from './support/scheduler-simulation.js';
import {finishJobs} from './support/unfinished-jobs.js';

/** Time from the signal to the end of a process. */
const graceMs = 2500;
const processes = 6;
const workers = 20;
const submissionIntervalMs = 50;
const handovers = 8;

/** Time between the hand-overs of a series, and between a hand-over and the departures planned for it at most. */
const shortestTermMs = 2200;
const maxTermVariationMs = 1500;
const maxDepartureDelayMs = 400;

/** Notice that workers give before they leave. */
const noticeMs = 2000;
const departingShare = 1 / 3;

/** Longer than a holder is silent before it is replaced. */
const pauseMs = 1200;

const storeLatenciesMs = [4, 4, 40, 120, 240];
const largeHost = {cpuMillicores: 1350};

type Handover = 'stop' | 'yield' | 'pause';

/** Every third series has holders that stand still, which is a disruption. */
const handoversOf = (seed: number): readonly Handover[] => seed % 3 === 0 ? ['stop', 'yield', 'pause'] : ['stop', 'yield'];

const seeds = Array.from({length: Number(process.env.POPLARNOTCH_DAYS ?? 4)}, (_value, index) => index + 1);

const handOver = (simulation: SchedulerSimulation, kind: Handover, random: SeededRandom): void => {
	const {holder} = simulation;
	const running = simulation.processes.filter(({clock, isStopping}) => !clock.isDead && !isStopping);
	if (holder === undefined || holder.isStopping) {
		return;
	}

	switch (kind) {
		case 'stop': {
			simulation.stop(holder, graceMs);
			simulation.clock.schedule(graceMs, () => {
				simulation.addProcess();
			});
			break;
		}

		case 'yield': {
			const others = running.filter(other => other !== holder);
			simulation.cpuMillicores.clear();
			simulation.cpuMillicores.set(others[Math.floor(random.next() * others.length)]!.name, largeHost.cpuMillicores);
			break;
		}

		case 'pause': {
			holder.clock.freeze(pauseMs, 'process');
			break;
		}
	}
};

/** Lets a share of the workers drain, to leave or be replaced about when the hand-over comes. */
const planDepartures = (simulation: SchedulerSimulation, random: SeededRandom): void => {
	for (const {isUp, isDraining, entry: {workerId}} of simulation.fleet.workers.values()) {
		if (isUp && !isDraining && random.next() < departingShare) {
			simulation.replaceWorker(workerId, noticeMs + (maxDepartureDelayMs * random.next()));
		}
	}
};

test.each(seeds)('hand-overs beside workers that leave start no task after an end that was taken note of: seed %i', async seed => {
	const random = new SeededRandom(seed);
	const simulation = new SchedulerSimulation({
		seed, processes, workersPerPool: workers, standbyMachines: 0, successors: 4, dataCentres: ['a', 'b', 'c'],
	});
	simulation.configure(configurationWithoutStandby(2));
	simulation.arePollsAnsweredAtEnds = true;
	await simulation.run(takeoverMs);
	const {runMs} = simulation.fleet.behaviour;
	simulation.fleet.behaviour.runMs = taskKey => 2.4 * runMs(taskKey);
	Object.assign(simulation.faults, seed % 4 === 0 ? {lostOrderRate: 0.05, lateOrderMs: 3000} : {});
	const accepted: string[] = [];
	let jobs = 0;
	const submit = async (): Promise<void> => {
		const running = simulation.processes.filter(({clock, isStopping}) => !clock.isDead && !isStopping && !clock.isFrozen);
		const job = jobOf(++jobs, {acceptedWallMs: simulation.clock.wallTimeMs(), steps: [stepOf({taskCount: 1 + (jobs % 4)}), stepOf({taskCount: 2, after: [0]})]});
		if (await simulation.submit(job, running[Math.floor(random.next() * running.length)])) {
			accepted.push(job.jobId);
		}
	};

	const submitFor = async (forMs: number): Promise<void> => {
		const untilMs = simulation.clock.nowMs() + forMs;
		while (simulation.clock.nowMs() < untilMs) {
			void submit();
			await simulation.run(submissionIntervalMs);
		}
	};

	const kinds = handoversOf(seed);
	for (let count = 0; count < handovers; count++) {
		for (const {table} of simulation.processes) {
			table.latencyMs = storeLatenciesMs[Math.floor(random.next() * storeLatenciesMs.length)]!;
		}

		await submitFor((shortestTermMs - noticeMs) + (maxTermVariationMs * random.next()));
		planDepartures(simulation, random);
		await submitFor(noticeMs);
		await simulation.run(100 * random.next());
		handOver(simulation, kinds[Math.floor(random.next() * kinds.length)]!, random);
	}

	for (const {table} of simulation.processes) {
		table.latencyMs = 4;
	}

	simulation.faults.lostOrderRate = 0;
	const unfinishedAtEnd = await finishJobs(simulation, accepted);
	simulation.close();
	expect(simulation.fleet.brokenPromises).toEqual([]);
	expect(unfinishedAtEnd).toEqual([]);
}, 60_000);
