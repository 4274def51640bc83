/**
Reviews operators' changes against the waves stored in the table service, so that every controller comes to the same result, whether or not it holds the lease.
*/
import {type Logger} from '@poplarnotch/common';
import {type TableService} from '@poplarnotch/platform';
import {type ChangeReview} from '@poplarnotch/state';
import {checkHostEdits, guardedHostsIn} from '../fleet/check-edits.js';
import {readWaves, waveKey} from '../shell/fleet-rows.js';

/** Creates the review that checks every operator's change. It reads the waves only if a change edits the state, pool or target pool of a host. */
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
