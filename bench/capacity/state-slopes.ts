/**
Measures the slopes of state: how much memory and compile time one more worker, team or queue adds to the compiled settings. The figures come from a comparison, within this process, of settings trees that differ in one kind of entity.
*/
import process from 'node:process';
import * as E from 'fp-ts/lib/Either.js';
import {
	checkFleetSettings, compileFleetSettings, type FleetSettings, type SettingsTree,
} from '@poplarnotch/common';
import {median} from '../support/median.js';
import {buildTree, type TreeSize, twoYearSize} from './two-year-tree.js';

/** Memory and compile time that one more entity of a kind adds. */
export type Slope = {
	readonly stateBytes: number;
	readonly compileUs: number;
};

const compileRepeats = 15;

const collectGarbage = (): void => {
	(globalThis as {gc?: () => void}).gc?.();
};

const compile = (tree: SettingsTree): FleetSettings => {
	const compiled = E.chain(checkFleetSettings)(compileFleetSettings(tree, 1));
	if (E.isLeft(compiled)) {
		throw new RangeError(`the bench's tree has findings: ${JSON.stringify(compiled.left.slice(0, 3))}`);
	}

	return compiled.right;
};

const measureCompileUs = (tree: SettingsTree): number => {
	const times: number[] = [];
	for (let repeat = 0; repeat < compileRepeats; repeat++) {
		const startMs = performance.now();
		compile(tree);
		times.push((performance.now() - startMs) * 1000);
	}

	return median(times);
};

type Measured = {
	readonly stateBytes: number;
	readonly compileUs: number;
};

const measure = (size: TreeSize): Measured => {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const tree = buildTree(size);
	const settings = compile(tree);
	collectGarbage();
	const stateBytes = process.memoryUsage().heapUsed - before;
	const compileUs = measureCompileUs(tree);
	return settings.revision === 1 ? {stateBytes, compileUs} : {stateBytes: 0, compileUs: 0};
};

const slopeOf = (full: Measured, less: Measured, count: number): Slope => ({
	stateBytes: Math.round((full.stateBytes - less.stateBytes) / count),
	compileUs: Math.round((full.compileUs - less.compileUs) / count * 10) / 10,
});

/** Measures all slopes, and the totals at the two-year size. */
export const measureStateSlopes = (): Readonly<Record<string, Slope>> => {
	measure(twoYearSize);
	const full = measure(twoYearSize);
	const half = (field: keyof TreeSize): Slope => {
		const removed = Math.floor(twoYearSize[field] / 2);
		return slopeOf(full, measure({...twoYearSize, [field]: twoYearSize[field] - removed}), removed);
	};

	return {
		perWorker: half('hosts'),
		perTeam: half('teams'),
		perQueue: half('queues'),
		whole: {stateBytes: full.stateBytes, compileUs: Math.round(full.compileUs)},
	};
};
