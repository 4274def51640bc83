/**
Measures team shares, slots and wait times of eight gates in virtual time, with load peaks that move from pool to pool. Compares the allocation of slots by demand with a FIFO baseline and with other methods of sharing the backend servers.

`npm run bench -- share [METHOD …] [SEED]` measures only the given methods, with the given seed.
*/
import {deployments, type Spread} from './share/scenario.js';
import {type RunFigures, simulate, sharingMethods} from './share/simulation.js';

const spreads: readonly Spread[] = ['even', 'skewed'];
const defaultSeed = 11;

/** The method that gates use. */
const gateMethod = 'dealt-slots';

const targets = {worstShareError: 0.02, overLimit: 0, overfilledSlots: 0};

/** Runs the selected methods and prints the figures of each run. The result contains the worst figures of the method that gates use. */
export const run = async (options: readonly string[]): Promise<Record<string, unknown>> => {
	const selected = sharingMethods.filter(method => options.includes(method));
	const methods = selected.length === 0 ? sharingMethods : selected;
	const seed = Number(options.find(option => /^\d+$/v.test(option)) ?? defaultSeed);
	const runs: Record<string, RunFigures> = {};
	for (const method of methods) {
		for (const deployment of deployments) {
			for (const spread of spreads) {
				const figures = simulate(deployment, method, spread, seed);
				runs[`${method}/${deployment.name}/${spread}`] = figures;
				console.log(`${method}/${deployment.name}/${spread} ${JSON.stringify(figures)}`);
			}
		}
	}

	const gateMethodRuns = Object.entries(runs).filter(([name]) => name.startsWith(`${gateMethod}/`)).map(([, figures]) => figures);
	const worst = (pick: (figures: RunFigures) => number): number => Math.max(0, ...gateMethodRuns.map(figures => pick(figures)));
	return {
		worstShareError: worst(figures => figures.worstShareError),
		overLimit: worst(figures => figures.overLimit),
		overfilledSlots: worst(figures => figures.overfilledSlots),
		targets,
		seed,
		runs,
	};
};
