/**
Runs random scenarios of the scheduler in virtual time: `npm run bench -- days [COUNT] [FIRST_SEED]`. Each seed determines one scenario with its faults and fleet size. A scenario that violates a guarantee is printed with the violations; add its seed to the regression cases of the scheduler's property test.
*/
import {randomScenario, runScenario} from '../packages/scheduler/tests/support/random-scenario.js';

const defaultScenarioCount = 100;

/** Number of scenarios between two progress lines. */
const progressEvery = 50;

export const run = async ([countText, firstSeedText]: readonly string[]): Promise<Record<string, unknown>> => {
	const scenarioCount = Number(countText ?? defaultScenarioCount);
	const firstSeed = Number(firstSeedText ?? 1);
	const failedSeeds: number[] = [];
	let violatedGuarantees = 0;
	let servedShares = 0;
	for (let index = 0; index < scenarioCount; index++) {
		const scenario = randomScenario(firstSeed + index);
		const result = await runScenario(scenario);
		servedShares += result.servedShare;
		violatedGuarantees += result.brokenPromises.length;
		if (result.brokenPromises.length > 0) {
			failedSeeds.push(scenario.seed);
			console.log(JSON.stringify({...scenario, brokenPromises: result.brokenPromises}));
		}

		if ((index + 1) % progressEvery === 0) {
			console.log(`${index + 1} of ${scenarioCount} scenarios, ${failedSeeds.length} with a violated guarantee`);
		}
	}

	return {
		days: scenarioCount, brokenPromises: violatedGuarantees, meanServed: Math.round(1000 * servedShares / Math.max(1, scenarioCount)) / 1000, seeds: failedSeeds,
	};
};
