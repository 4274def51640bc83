/**
JSON-RPC messages about the settings between processes: `settings.state` queries the state of a process's copy and the changes after a revision, `settings.push` sends changes, `settings.tree` fetches the whole tree.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	formatFinding, type JsonValue, parseWith, z,
} from '@poplarnotch/common';
import {PeerProtocolError, PeerUnreachableError} from '../peers/errors.js';
import {type RpcClient} from '../peers/rpc-client.js';
import {type Member, type SettingsChange} from '../types.js';
import {type PeerSettingsResponse} from './replica-types.js';
import {
	changeToJson, settingsChangeSchema, type TreeAtRevision, treeFromJson,
} from './rows.js';

export const stateMethod = 'settings.state';
export const pushMethod = 'settings.push';
export const treeMethod = 'settings.tree';

/** Maximum number of changes in one response; a process further behind fetches the tree. */
export const maxChangesPerResponse = 50;

const ageSchema = z.number().optional();

const stateResponseSchema = z.object({
	processId: z.string(),
	revision: z.number().int().nonnegative(),
	hasFloor: z.boolean(),
	isFresh: z.boolean(),
	confirmedAgeMs: ageSchema,
	quorumAgeMs: ageSchema,
	changes: z.array(settingsChangeSchema),
});

const stateRequestSchema = z.object({afterRevision: z.number().int().nonnegative().optional()});

const pushSchema = z.object({changes: z.array(settingsChangeSchema)});

/** A process's response with the additional field that the in-force report needs. */
export type SettingsStateResponse = PeerSettingsResponse & {readonly isFresh: boolean};

const parseMessage = <Schema extends z.ZodType>(schema: Schema, value: unknown, method: string): z.infer<Schema> => {
	const parsed = parseWith(schema, value, method);
	if (E.isLeft(parsed)) {
		throw new PeerProtocolError(parsed.left.map(formatFinding).join('; '));
	}

	return parsed.right;
};

/** Parses the parameters of `settings.state`: the revision after which changes are requested, if any. */
export const afterRevisionFrom = (parameters: unknown): number | undefined =>
	parseMessage(stateRequestSchema, parameters, stateMethod).afterRevision;

/** Parses the parameters of `settings.push`. */
export const pushedChangesFrom = (parameters: unknown): readonly SettingsChange[] =>
	parseMessage(pushSchema, parameters, pushMethod).changes;

const roundedUp = (ageMs: number | undefined): number | undefined => ageMs === undefined ? undefined : Math.ceil(ageMs);

/** A response as JSON. Ages are rounded up: a confirmation must never appear younger than it is. */
export const stateResponseToJson = (response: SettingsStateResponse): JsonValue => {
	const confirmedAgeMs = roundedUp(response.confirmedAgeMs);
	const quorumAgeMs = roundedUp(response.quorumAgeMs);
	return {
		processId: response.processId,
		revision: response.revision,
		hasFloor: response.hasFloor,
		isFresh: response.isFresh,
		...(confirmedAgeMs === undefined ? {} : {confirmedAgeMs}),
		...(quorumAgeMs === undefined ? {} : {quorumAgeMs}),
		changes: response.changes.map(change => changeToJson(change)),
	};
};

/** The calls of a replica to other processes. They fail with `PeerUnreachableError` or `PeerProtocolError`. */
export interface SettingsPeers {
	/** Ids of the registered members; `undefined` until known. */
	memberIds(): readonly string[] | undefined;
	queryState(peerId: string, afterRevision: number): Promise<PeerSettingsResponse>;
	push(peerId: string, changes: readonly SettingsChange[]): Promise<void>;
	fetchTree(peerId: string): Promise<TreeAtRevision>;
}

/** Source of the registered members; `undefined` until known. */
export interface PeerDirectory {
	members(): readonly Member[] | undefined;
}

/** Calls peers over RPC. */
export class RpcSettingsPeers implements SettingsPeers {
	readonly #directory: PeerDirectory;
	readonly #client: RpcClient;

	constructor(directory: PeerDirectory, client: RpcClient) {
		this.#directory = directory;
		this.#client = client;
	}

	memberIds(): readonly string[] | undefined {
		return this.#directory.members()?.map(member => member.processId);
	}

	async queryState(peerId: string, afterRevision: number): Promise<PeerSettingsResponse> {
		return this.state(peerId, {afterRevision});
	}

	/** The peer's state, with the changes after `afterRevision` if that is given. */
	async state(peerId: string, parameters: {readonly afterRevision?: number} = {}): Promise<SettingsStateResponse> {
		const result = await this.#client.call(this.#urlOf(peerId), stateMethod, parameters);
		const response = parseMessage(stateResponseSchema, result, stateMethod);
		if (response.processId !== peerId) {
			throw new PeerProtocolError(`Process ${response.processId} responded at the address of ${peerId}`);
		}

		return {...response, confirmedAgeMs: response.confirmedAgeMs, quorumAgeMs: response.quorumAgeMs};
	}

	async push(peerId: string, changes: readonly SettingsChange[]): Promise<void> {
		await this.#client.call(this.#urlOf(peerId), pushMethod, {changes: changes.map(change => changeToJson(change))});
	}

	async fetchTree(peerId: string): Promise<TreeAtRevision> {
		return treeFromJson(await this.#client.call(this.#urlOf(peerId), treeMethod, {}));
	}

	#urlOf(peerId: string): string {
		const member = this.#directory.members()?.find(candidate => candidate.processId === peerId);
		if (member === undefined) {
			throw new PeerUnreachableError(`${peerId} is not a registered member`);
		}

		return member.operationsUrl;
	}
}
