/**
Job specifications for tests.
*/
import {type JobChange} from '../../src/core/events.js';
import {type JobSpec, type StepSpec} from '../../src/index.js';

export const stepOf = (overrides: Partial<StepSpec> = {}): StepSpec => ({
	taskCount: 4,
	needs: {cpuMillicores: 1000, memoryMb: 500, accelerators: 0},
	estimateMs: 500,
	after: [],
	isCheckpointing: false,
	isGang: false,
	prefersOneRack: false,
	requiredLabel: '',
	dataRack: '',
	maxPerWorker: 0,
	isLasting: false,
	image: '',
	targetMs: 0,
	isFilling: false,
	mayMiss: 0,
	...overrides,
});

export const lastingStepOf = (overrides: Partial<StepSpec> = {}): StepSpec => stepOf({
	taskCount: 3, isLasting: true, mayMiss: 1, maxPerWorker: 1, ...overrides,
});

/** A step of lasting tasks with a response-time target. */
export const servingStepOf = (overrides: Partial<StepSpec> = {}): StepSpec => lastingStepOf({
	targetMs: 100, ...overrides,
});

/** A step of filling tasks, which use the CPU time that others leave idle. */
export const fillingStepOf = (overrides: Partial<StepSpec> = {}): StepSpec => stepOf({
	isFilling: true, isCheckpointing: true, ...overrides,
});

export const jobOf = (number: number, overrides: Partial<JobSpec> = {}): JobSpec => ({
	jobId: number.toString(16).padStart(16, '0'),
	queue: 'draws',
	customer: 'altan',
	payload: `job ${number}`,
	steps: [stepOf(), stepOf({taskCount: 2, after: [0]})],
	recurrence: {count: 0, firstDueWallMs: 0, periodMs: 0},
	acceptedWallMs: 0,
	...overrides,
});

/** The change that reports a job's row, stored with the given version. */
export const acceptedChange = (job: JobSpec, {rowKey = job.jobId, version = 1}: {readonly rowKey?: string; readonly version?: number} = {}): JobChange => ({
	type: 'accepted', job, rowKey, version,
});
