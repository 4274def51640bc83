/**
Pure functions on crash records: how many crashes count against a task, and how the records of two lease holders are merged.
*/
import {type CrashRecord} from '../types.js';

/** The record of a task under which no worker has crashed. */
export const noCrashRecord: CrashRecord = {
	crashedAttempts: [], trialAttempt: 0, settledTrialAttempt: 0, clearedAttempt: 0, isGivenUp: false,
};

/** Returns the number of crashes that count against the task. */
export const countCrashes = ({crashedAttempts, clearedAttempt}: CrashRecord): number =>
	crashedAttempts.filter(attempt => attempt > clearedAttempt).length;

/** Returns true if a trial was planned and how it ended is unknown. */
export const isTrialUnresolved = ({crashedAttempts, trialAttempt, settledTrialAttempt}: CrashRecord): boolean =>
	trialAttempt > settledTrialAttempt && !crashedAttempts.includes(trialAttempt);

export const addCrash = (record: CrashRecord, attempt: number): CrashRecord =>
	({...record, crashedAttempts: [...new Set([...record.crashedAttempts, attempt])]});

/** Merges what two lease holders have recorded; the order does not matter. */
export const mergeCrashRecords = (a: CrashRecord, b: CrashRecord): CrashRecord => ({
	crashedAttempts: [...new Set([...a.crashedAttempts, ...b.crashedAttempts])].toSorted((x, y) => x - y),
	trialAttempt: Math.max(a.trialAttempt, b.trialAttempt),
	settledTrialAttempt: Math.max(a.settledTrialAttempt, b.settledTrialAttempt),
	clearedAttempt: Math.max(a.clearedAttempt, b.clearedAttempt),
	isGivenUp: a.isGivenUp || b.isGivenUp,
});
