/**
Encodes which tasks of a job are done as ranges. Tasks mostly end in order, so the progress of a job with thousands of tasks or occurrences takes a few bytes, and it fits into one row of the table service.
*/
import {z} from '@poplarnotch/common';
import {maxTasksPerJob} from '../constants.js';

/** Indexes of done tasks by step, whose key is `{occurrence}.{stepIndex}`. */
export type DoneTasks = Readonly<Record<string, readonly number[]>>;

/** Occurrences, step index and done tasks, the first and the last one as ranges such as `0-7,9`. */
export type DoneRanges = ReadonlyArray<readonly [occurrences: string, stepIndex: number, tasks: string]>;

const rangesSchema = z.string().regex(/^\d{1,5}(?:-\d{1,5})?(?:,\d{1,5}(?:-\d{1,5})?)*$/v);

export const doneRangesSchema = z.array(z.tuple([rangesSchema, z.number().int().nonnegative(), rangesSchema]));

const toRanges = (numbers: readonly number[]): string => {
	const ranges: Array<{readonly from: number; to: number}> = [];
	for (const number of numbers.toSorted((a, b) => a - b)) {
		const last = ranges.at(-1);
		if (last !== undefined && number <= last.to + 1) {
			last.to = number;
		} else {
			ranges.push({from: number, to: number});
		}
	}

	return ranges.map(({from, to}) => from === to ? String(from) : `${from}-${to}`).join(',');
};

/** Returns the numbers of the ranges, or `undefined` if there are more than a job has tasks. */
const fromRanges = (text: string): readonly number[] | undefined => {
	const numbers: number[] = [];
	for (const range of text.split(',')) {
		const [from = 0, to = from] = range.split('-').map(Number);
		if (to - from + numbers.length >= maxTasksPerJob) {
			return undefined;
		}

		for (let number = from; number <= to; number++) {
			numbers.push(number);
		}
	}

	return numbers;
};

/** Steps with the same done tasks are encoded together, over all occurrences. */
export const encodeDone = (doneTasks: DoneTasks): DoneRanges => {
	const occurrencesByStep = new Map<string, number[]>();
	for (const [stepKey, indexes] of Object.entries(doneTasks)) {
		const [occurrence, stepIndex] = stepKey.split('.');
		if (indexes.length > 0) {
			const key = `${stepIndex} ${toRanges(indexes)}`;
			const occurrences = occurrencesByStep.get(key) ?? [];
			occurrencesByStep.set(key, occurrences);
			occurrences.push(Number(occurrence));
		}
	}

	return [...occurrencesByStep].map(([key, occurrences]) => {
		const [stepIndex, tasks] = key.split(' ');
		return [toRanges(occurrences), Number(stepIndex), tasks!];
	});
};

/** Returns `undefined` if the ranges name more tasks than a job has. */
export const decodeDone = (ranges: DoneRanges): DoneTasks | undefined => {
	const doneTasks: Record<string, readonly number[]> = {};
	let count = 0;
	for (const [occurrenceRanges, stepIndex, taskRanges] of ranges) {
		const occurrences = fromRanges(occurrenceRanges);
		const tasks = fromRanges(taskRanges);
		count += (occurrences?.length ?? 0) * (tasks?.length ?? 0);
		if (occurrences === undefined || tasks === undefined || count > maxTasksPerJob) {
			return undefined;
		}

		for (const occurrence of occurrences) {
			doneTasks[`${occurrence}.${stepIndex}`] = tasks;
		}
	}

	return doneTasks;
};
