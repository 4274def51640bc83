/**
Pure functions on crash records: how many crashes count against a task, and how the records of two lease holders are merged.
*/
import {type CrashRecord} from '../types.js';
import {unionOf} from './merging.js';

/** The record of a task under which no worker has crashed. */
export const noCrashRecord: CrashRecord = {
	crashedAttempts: [], presumedAttempts: [], trialAttempt: 0, settledTrialAttempt: 0, provenAttempt: 0, clearedAttempt: 0, isGivenUp: false,
};

/** Numbers of crashes that count against a task. */
export type CrashCount = {
	readonly observed: number;
	/** The observed and the presumed ones. */
	readonly possible: number;
};

export const countCrashes = ({crashedAttempts, presumedAttempts, clearedAttempt}: CrashRecord): CrashCount => {
	const observed = crashedAttempts.filter(attempt => attempt > clearedAttempt).length;
	return {observed, possible: observed + presumedAttempts.filter(attempt => attempt > clearedAttempt).length};
};

/** Returns true if a crash counts against the task that came after the last attempt that was proven. */
export const isUnderSuspicion = ({crashedAttempts, presumedAttempts, provenAttempt, clearedAttempt}: CrashRecord): boolean => {
	const trustedAttempt = Math.max(provenAttempt, clearedAttempt);
	return crashedAttempts.some(attempt => attempt > trustedAttempt) || presumedAttempts.some(attempt => attempt > trustedAttempt);
};

/** Returns true if the attempt is recorded as one that has, or may have, crashed its worker. */
export const hasCrash = ({crashedAttempts, presumedAttempts}: CrashRecord, attempt: number): boolean =>
	crashedAttempts.includes(attempt) || presumedAttempts.includes(attempt);

/** Returns true if a trial was planned and how it ended is unknown. */
export const isTrialUnresolved = (record: CrashRecord): boolean =>
	record.trialAttempt > record.settledTrialAttempt && !hasCrash(record, record.trialAttempt);

export const addCrash = (record: CrashRecord, attempt: number, isObserved: boolean): CrashRecord => isObserved
	? {...record, crashedAttempts: unionOf(record.crashedAttempts, [attempt])}
	: {...record, presumedAttempts: unionOf(record.presumedAttempts, [attempt])};

/** Merges what two lease holders have recorded; the order does not matter. */
export const mergeCrashRecords = (a: CrashRecord, b: CrashRecord): CrashRecord => ({
	crashedAttempts: unionOf(a.crashedAttempts, b.crashedAttempts),
	presumedAttempts: unionOf(a.presumedAttempts, b.presumedAttempts),
	trialAttempt: Math.max(a.trialAttempt, b.trialAttempt),
	trialWorker: (a.trialAttempt < b.trialAttempt ? b : a).trialWorker,
	settledTrialAttempt: Math.max(a.settledTrialAttempt, b.settledTrialAttempt),
	provenAttempt: Math.max(a.provenAttempt, b.provenAttempt),
	clearedAttempt: Math.max(a.clearedAttempt, b.clearedAttempt),
	isGivenUp: a.isGivenUp || b.isGivenUp,
});
