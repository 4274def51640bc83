/**
Determines whether a revision is in force on every live process.

A process that reports an older revision while it accepts requests with API keys keeps the revision from being in force. A process that has failed closed, or does not respond, does so only for a limited time: once a majority of the members hold the revision, a process that lacks it cannot confirm its copy and stops trusting it within `failClosedAfterMs`.
*/
import {type Member} from '../types.js';
import {failClosedAfterMs} from './constants.js';
import {type SettingsStateResponse} from './peer-messages.js';

/** The status of a revision on one process. */
export type RevisionStatus = 'in-force' | 'behind' | 'failed-closed' | 'unreachable';

/** One process in the in-force report. */
export type ProcessRevisionStatus = {
	readonly processId: string;
	readonly role: string;
	/** `undefined` if the process did not respond. */
	readonly revision: number | undefined;
	readonly state: RevisionStatus;
};

/** The responses of the processes; processes that did not respond have no entry. */
export type ResponsesByProcess = ReadonlyMap<string, SettingsStateResponse>;

const statusOf = (response: SettingsStateResponse | undefined, revision: number): RevisionStatus => {
	if (response === undefined) {
		return 'unreachable';
	}

	if (response.hasFloor && response.revision >= revision) {
		return 'in-force';
	}

	return response.isFresh ? 'behind' : 'failed-closed';
};

/** The status of the revision on each member. */
export const revisionStatuses = (members: readonly Member[], responses: ResponsesByProcess, revision: number): readonly ProcessRevisionStatus[] =>
	members.map(({processId, role}) => {
		const response = responses.get(processId);
		return {
			processId, role, revision: response?.revision, state: statusOf(response, revision),
		};
	});

/** Whether a strict majority of the members hold the revision. */
export const isHeldByMajority = (processes: readonly ProcessRevisionStatus[]): boolean =>
	processes.filter(({state}) => state === 'in-force').length * 2 > processes.length;

/** Whether the revision is in force; `heldByMajorityForMs` is how long a majority has held it. */
export const isInForce = (processes: readonly ProcessRevisionStatus[], heldByMajorityForMs: number | undefined): boolean => {
	if (heldByMajorityForMs === undefined || processes.some(({state}) => state === 'behind')) {
		return false;
	}

	return heldByMajorityForMs >= failClosedAfterMs || processes.every(({state}) => state === 'in-force');
};
