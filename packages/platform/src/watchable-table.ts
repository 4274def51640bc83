/**
A table service that also tells its readers what has changed, so that a replica of a part of the rows costs one open call in place of polling.
*/
import {type ChangePage, type Row, type TableService} from './table-service.js';
import {PlatformError} from './errors.js';

/** The changes since a revision are no longer kept; read all rows again. */
export class HistoryLostError extends PlatformError {
	override readonly code = 'history-lost';
	override readonly mayBeApplied = false;
}

/** All rows under a prefix. */
export type RowListing = {
	readonly rows: readonly Row[];
	/** Every change up to this revision is contained; later ones may be. */
	readonly revision: number;
};

/** Reads fail with `UnavailableError`; `waitForChanges` also with `HistoryLostError`. */
export interface WatchableTable extends TableService {
	listRows(prefix: string): Promise<RowListing>;
	/** Answers as soon as there is a change after `revision`, or with none once `waitMs` have passed. */
	waitForChanges(prefix: string, revision: number, waitMs: number): Promise<ChangePage>;
}
