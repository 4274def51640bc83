/**
Rows of members. A process writes its description once, when it registers: the revision of that commit, which is the row's version, is its incarnation. Heartbeats are written to a separate row that holds only a number, because every process reads every heartbeat: the bytes that heartbeats cost grow with the square of the number of processes.
*/
import * as E from 'fp-ts/lib/Either.js';
import * as O from 'fp-ts/lib/Option.js';
import {
	type JsonValue, parseWith, z,
} from '@poplarnotch/common';
import {type Row, type RowChange} from '@poplarnotch/platform';
import {type Member} from '../types.js';

/** Prefix of the members' rows. */
export const membersPrefix = 'members/';

const heartbeatSuffix = '/heartbeat';

/** Key of a member's row. */
export const memberKey = (processId: string): string => `${membersPrefix}${processId}`;

/** Key of a member's heartbeat row. It has the members' prefix, so that one read returns both rows. */
export const heartbeatKey = (processId: string): string => `${memberKey(processId)}${heartbeatSuffix}`;

/** The process whose heartbeat row the key names; none if it is the key of another row. */
export const processIdOfHeartbeat = (key: string): O.Option<string> => key.endsWith(heartbeatSuffix)
	? O.some(key.slice(membersPrefix.length, -heartbeatSuffix.length))
	: O.none;

const memberRowSchema = z.object({
	role: z.enum(['gate', 'controller']),
	host: z.string(),
	dataCentre: z.string(),
	region: z.string(),
	operationsUrl: z.string(),
	/** Distinguishes the runs of the process. */
	runId: z.string(),
});

/** The description under which a process registers. */
export type MemberIdentity = Omit<Member, 'incarnation'> & {readonly runId: string};

/** A parsed member row. */
export type MemberRow = {
	readonly member: Member;
	readonly runId: string;
};

/** The value of a member's row. */
export const memberValue = (identity: MemberIdentity): JsonValue => {
	const {processId: _inKey, ...fields} = identity;
	return fields;
};

/** Parses a member's row; none if the row was deleted or is malformed. */
export const parseMemberRow = (row: Row | RowChange): O.Option<MemberRow> => {
	const parsed = parseWith(memberRowSchema, row.value, row.key);
	if (E.isLeft(parsed)) {
		return O.none;
	}

	const {
		role, host, dataCentre, region, operationsUrl, runId,
	} = parsed.right;
	const member: Member = {
		processId: row.key.slice(membersPrefix.length), incarnation: row.version, role, host, dataCentre, region, operationsUrl,
	};
	return O.some({member, runId});
};
