/**
Plays drawn days of the scheduler in virtual time: `npm run bench -- days [COUNT] [FIRST_SEED]`. Each seed stands for one day, whose faults and fleet size it draws. Days that break a promise are printed with what was broken; their seeds belong into the regression cases of the scheduler's property test.
*/
import {randomScenario, runScenario} from '../packages/scheduler/tests/support/random-scenario.js';

const defaultDays = 100;

/** Progress is printed this often. */
const progressEvery = 50;

export const run = async ([countText, firstSeedText]: readonly string[]): Promise<Record<string, unknown>> => {
	const days = Number(countText ?? defaultDays);
	const firstSeed = Number(firstSeedText ?? 1);
	const brokenSeeds: number[] = [];
	let brokenPromises = 0;
	let servedShares = 0;
	for (let index = 0; index < days; index++) {
		const day = randomScenario(firstSeed + index);
		const result = await runScenario(day);
		servedShares += result.servedShare;
		brokenPromises += result.brokenPromises.length;
		if (result.brokenPromises.length > 0) {
			brokenSeeds.push(day.seed);
			console.log(JSON.stringify({...day, brokenPromises: result.brokenPromises}));
		}

		if ((index + 1) % progressEvery === 0) {
			console.log(`${index + 1} of ${days} days, ${brokenSeeds.length} with a broken promise`);
		}
	}

	return {
		days, brokenPromises, meanServed: Math.round(1000 * servedShares / Math.max(1, days)) / 1000, seeds: brokenSeeds,
	};
};
