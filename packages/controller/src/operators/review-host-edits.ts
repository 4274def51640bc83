/**
Reviews operators' changes against the waves in the table service, so that every controller judges alike, whoever holds the lease.
*/
import {type Logger} from '@poplarnotch/common';
import {type TableService} from '@poplarnotch/platform';
import {type ChangeReview} from '@poplarnotch/state';
import {checkHostEdits, guardedHostsIn} from '../fleet/check-edits.js';
import {readWaves, waveKey} from '../shell/fleet-rows.js';

/** The review that goes with every change of an operator. Changes that touch no host's state or pool cost no read. */
export const createHostReview = (table: TableService, logger: Logger): ChangeReview => async (tree, edits) => {
	const hosts = guardedHostsIn(tree, edits);
	if (hosts.size === 0) {
		return {findings: [], basis: []};
	}

	const waves = await readWaves(table, logger);
	return {
		findings: checkHostEdits(tree, waves, edits),
		basis: waves
			.filter(({progress}) => [...hosts].some(host => progress.hosts[host] !== undefined))
			.map(({progress, version}) => ({key: waveKey(progress.wave), version})),
	};
};
