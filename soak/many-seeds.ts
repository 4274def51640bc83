/**
Plays many seeds, each in a process of its own, some of them side by side.
*/
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {join} from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {type LifecycleManager} from '@poplarnotch/common';

/** Time that a run has to end its daemons after SIGTERM. */
const stopTimeoutMs = 10_000;

export type SeedPlan = {
	readonly firstSeed: number;
	readonly count: number;
	/** Runs that go on side by side. */
	readonly parallel: number;
	/** Options of each single run. */
	readonly options: readonly string[];
	/** Folder with one of its own for each run; without it none is kept. */
	readonly out: string | undefined;
};

/** Plays the seeds and returns those whose run did not pass. */
export const playSeeds = async ({firstSeed, count, parallel, options, out}: SeedPlan, lifecycle: LifecycleManager): Promise<readonly number[]> => {
	const waiting = Array.from({length: count}, (_value, index) => firstSeed + index);
	const running = new Set<ChildProcess>();
	const stopAll = (): void => {
		waiting.length = 0;
		for (const child of running) {
			child.kill('SIGTERM');
		}
	};

	process.once('exit', stopAll);
	lifecycle.own('seeds', async () => {
		const ends = [...running].map(async child => once(child, 'exit'));
		stopAll();
		await Promise.all(ends);
	}, stopTimeoutMs);
	const failedSeeds: number[] = [];
	await Promise.all(Array.from({length: parallel}, async () => {
		for (let seed = waiting.shift(); seed !== undefined; seed = waiting.shift()) {
			const folder = out === undefined ? [] : ['--out', join(out, `seed-${seed}`)];
			const child = spawn(process.execPath, [...process.execArgv, process.argv[1]!, ...options, '--seed', String(seed), ...folder], {stdio: ['ignore', 'pipe', 'inherit']});
			running.add(child);
			const [output] = await Promise.all([text(child.stdout), once(child, 'exit')]);
			running.delete(child);
			const lines = output.trimEnd().split('\n');
			console.log([`seed ${seed}: ${lines.at(-1)}`, ...(child.exitCode === 0 ? [] : lines.slice(0, -1))].join('\n'));
			if (child.exitCode !== 0) {
				failedSeeds.push(seed);
			}
		}
	}));
	return failedSeeds;
};
