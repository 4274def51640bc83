/**
Errors of the shared settings.
*/
import {type Finding, formatFinding, PoplarnotchError} from '@poplarnotch/common';
import {type SettingsChange} from '../types.js';

/** The change would make the tree invalid; nothing was written. */
export class SettingsRejectedError extends PoplarnotchError {
	override readonly code = 'settings-rejected';
	readonly findings: readonly Finding[];

	constructor(findings: readonly Finding[]) {
		super(`The change was rejected: ${findings.map(formatFinding).join('; ')}`);
		this.findings = findings;
	}
}

/** The change's review has findings; nothing was written by the attempt that was reviewed. */
export class ReviewRejectedError extends SettingsRejectedError {
	override readonly name = 'ReviewRejectedError';
}

/** Another change of the same subtree was accepted first; nothing was written. */
export class SettingsConflictError extends PoplarnotchError {
	override readonly code = 'settings-conflict';
	/** The change that was accepted first. */
	readonly other: SettingsChange;

	constructor(other: SettingsChange) {
		super(`Change ${other.changeId} by ${other.author} (revision ${other.revision}) came first`);
		this.other = other;
	}
}

/** Too many other changes were accepted first; nothing was written and the change may be sent again. */
export class SettingsBusyError extends PoplarnotchError {
	override readonly code = 'settings-busy';
}

/** The tree cannot be rebuilt from the snapshots and the log in the platform. */
export class SettingsUnreadableError extends PoplarnotchError {
	override readonly code = 'settings-unreadable';
}

/** The log no longer reaches back to the requested revision. */
export class RevisionNotKeptError extends PoplarnotchError {
	override readonly code = 'revision-not-kept';
}
