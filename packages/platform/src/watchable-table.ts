/**
A table service that also supports waiting for changes (long polling), so that keeping a replica of some rows costs one pending call instead of repeated reads.
*/
import {type ChangePage, type Row, type TableService} from './table-service.js';
import {PlatformError} from './errors.js';

/** The changes since the requested revision are no longer kept; the reader must read all rows again. */
export class HistoryLostError extends PlatformError {
	override readonly code = 'history-lost';
	override readonly mayBeApplied = false;
}

/** All rows under a prefix. */
export type RowListing = {
	readonly rows: readonly Row[];
	/** The listing contains every change up to this revision and may contain later ones. */
	readonly revision: number;
	/** The table service's steady clock at some moment of the listing, in ms; left out by services that do not tell. */
	readonly tableClockMs?: number | undefined;
};

/** Reads fail with `UnavailableError`; `waitForChanges` also with `HistoryLostError`. */
export interface WatchableTable extends TableService {
	listRows(prefix: string): Promise<RowListing>;
	/** Returns the revision of the newest transaction on any row, which is at least that of each one acknowledged before the call. */
	readRevision(): Promise<number>;
	/** Returns as soon as there is a change after `revision`, or returns no changes once `waitMs` have passed. */
	waitForChanges(prefix: string, revision: number, waitMs: number): Promise<ChangePage>;
}
