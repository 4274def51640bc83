/**
Errors of calls to the platform. Each caller handles three cases: a conflict, a call that was certainly not applied, and a call that may have been applied.
*/
import {PoplarnotchError} from '@poplarnotch/common';

/** Base class of failed platform calls. */
export abstract class PlatformError extends PoplarnotchError {
	/** Whether the call may have taken effect. */
	abstract readonly mayBeApplied: boolean;
}

/** A row that did not have the version that a transaction required. */
export type RowConflict = {
	readonly key: string;
	readonly expectedVersion: number;
	/** 0 if the row is absent. */
	readonly actualVersion: number;
};

/** A condition of the transaction did not hold; nothing was applied. */
export class ConflictError extends PlatformError {
	override readonly code = 'conflict';
	override readonly mayBeApplied = false;
	readonly conflicts: readonly RowConflict[];

	constructor(conflicts: readonly RowConflict[]) {
		super(`Rows changed since they were read: ${conflicts.map(conflict => conflict.key).join(', ')}`);
		this.conflicts = conflicts;
	}
}

/** The platform rejected the call or was not reached; nothing was applied. */
export class UnavailableError extends PlatformError {
	override readonly code = 'unavailable';
	override readonly mayBeApplied = false;
}

/** The platform does not take the call for its size or form, and will not take it later either; nothing was applied. */
export class RejectedError extends PlatformError {
	override readonly code = 'rejected';
	override readonly mayBeApplied = false;
}

/** The call may or may not have been applied; the caller must read back to find out. */
export class WriteOutcomeUnknownError extends PlatformError {
	override readonly code = 'write-outcome-unknown';
	override readonly mayBeApplied = true;
}
