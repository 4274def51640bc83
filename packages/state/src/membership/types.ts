/**
Types of a process's view of the fleet's members.
*/
import {type Member} from '../types.js';

/**
A member is `suspected` after missed heartbeats, and `gone` when a higher incarnation of the same process is registered or the host list no longer names its host or shows that the host has rebooted. Only `gone` is proof that the process has ended.
*/
export type MemberStatus = 'live' | 'suspected' | 'gone';

/** A registered member as this process sees it. */
export type KnownMember = Member & {
	readonly status: MemberStatus;
};

/** All registered members as of a revision of the table service. */
export type MembersView = {
	readonly revision: number;
	readonly members: readonly KnownMember[];
	/** Processes whose rows cannot be parsed, such as those of a later release; only their registration is known. */
	readonly unreadable: readonly string[];
};

/** Called whenever a member appears, disappears or changes its status. */
export type MembersListener = (view: MembersView) => void;

/** Source of the members for other parts of a process. */
export interface MembersSource {
	/** The current view; `undefined` until the members were read once. */
	view(): MembersView | undefined;
	onChange(listener: MembersListener): void;
}
