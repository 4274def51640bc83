/**
Deletes the nonce rows left behind by earlier incarnations of a process.

A row is deleted only if it has not changed for far longer than it takes to resolve a commit, so that an incarnation that is still resolving a commit never loses the row that it reads back.
*/
import {type Clock} from '@poplarnotch/common';
import {PlatformError} from '../errors.js';
import {type Row} from '../table-service.js';
import {pauseFor} from './backoff.js';
import {nonceRowsPrefix} from './nonce-rows.js';
import {type RetryingTableService} from './retrying-table-service.js';

/** Time for which a row must remain unchanged before it is deleted. */
const minUnchangedMs = 60_000;

const maxRowsPerSweep = 200;

const readStaleNonceRows = async (table: RetryingTableService, client: string): Promise<readonly Row[]> => {
	const page = await table.readPrefix(nonceRowsPrefix(client), {limit: maxRowsPerSweep});
	return page.rows.filter(row => !table.ownsNonceRow(row.key));
};

/** Deletes stale nonce rows of the client and returns their number. Rows that cannot be deleted now are left for the next sweep. */
export const sweepNonceRows = async (table: RetryingTableService, client: string, clock: Clock): Promise<number> => {
	try {
		const staleRows = await readStaleNonceRows(table, client);
		if (staleRows.length === 0) {
			return 0;
		}

		await pauseFor(clock, minUnchangedMs);
		await table.commit({
			conditions: staleRows.map(({key, version}) => ({key, version})),
			writes: staleRows.map(({key}) => ({type: 'delete', key})),
		});
		return staleRows.length;
	} catch (error) {
		if (error instanceof PlatformError) {
			return 0;
		}

		throw error;
	}
};
