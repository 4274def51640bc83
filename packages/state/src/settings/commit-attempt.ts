/**
One attempt to commit a change of the settings: its review, its transaction and its outcome.
*/
import {type SettingsEdit, type SettingsTree} from '@poplarnotch/common';
import {
	absentVersion, type ConflictError, type RowCondition, type Transaction, WriteOutcomeUnknownError,
} from '@poplarnotch/platform';
import {type ChangeRequest, type ChangeReview, type SettingsChange} from '../types.js';
import {ReviewRejectedError} from './errors.js';
import {
	changeIdKey, changeToJson, headKey, logKey,
} from './rows.js';
import {type HeadRow} from './tree-reader.js';

/** The outcome of one attempt: the accepted change, a lost race, a review whose basis has changed, or an error after which the attempt may still be applied. */
export type CommitOutcome = SettingsChange | 'lost-race' | 'review-outdated' | WriteOutcomeUnknownError;

/** Whether the attempt was accepted. */
export const isChange = (outcome: CommitOutcome): outcome is SettingsChange =>
	outcome !== 'lost-race' && outcome !== 'review-outdated' && !(outcome instanceof WriteOutcomeUnknownError);

/** Runs the review and returns its basis; throws `ReviewRejectedError` if it has findings. */
export const runReview = async (review: ChangeReview | undefined, tree: SettingsTree, edits: readonly SettingsEdit[]): Promise<readonly RowCondition[]> => {
	const {findings, basis} = await review?.(tree, edits) ?? {findings: [], basis: []};
	if (findings.length > 0) {
		throw new ReviewRejectedError(findings);
	}

	return basis;
};

/** The transaction of one attempt, conditional on the head that was read and on the rows that the review has read. */
export const transactionFor = (headRow: HeadRow, change: SettingsChange, request: ChangeRequest, basis: readonly RowCondition[]): Transaction => ({
	conditions: [
		{key: headKey, version: headRow.version},
		{key: changeIdKey(change.changeId), version: absentVersion},
		...request.fences,
		...basis,
	],
	writes: [
		{type: 'put', key: headKey, value: {...headRow.head, revision: change.revision}},
		{type: 'put', key: logKey(change.revision), value: changeToJson(change)},
		{type: 'put', key: changeIdKey(change.changeId), value: {revision: change.revision}},
	],
});

/** Whether the attempt failed because the head has moved or the change was already accepted; then no earlier attempt can be applied any more. */
export const hasLostRace = (error: ConflictError, change: SettingsChange): boolean =>
	error.conflicts.some(({key}) => key === headKey || key === changeIdKey(change.changeId));
