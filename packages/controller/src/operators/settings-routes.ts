/**
Routes for settings: read, change, list changes and roll back.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	type JsonObject, parseWith, type SettingsEdit, z,
} from '@poplarnotch/common';
import {
	type ChangeReview, changeToJson, type CheckedChange, editsToJson, type SettingsChange, type SettingsReplica, type SettingsStore,
} from '@poplarnotch/state';
import {badRequest, notReady} from './problems.js';
import {type OperatorsResponse, type OperatorsRequest, type OperatorsRoute} from './types.js';

/** Dependencies of the settings routes. */
export type SettingsRoutesOptions = {
	readonly store: SettingsStore;
	readonly replica: SettingsReplica;
	/** Checks changes and rollbacks in addition to the validation of the tree. */
	readonly review: ChangeReview;
};

const maxChangesPerPage = 1000;
const defaultChangesPerPage = 100;

const commonChangeFields = {
	/** Chosen by the operator's tool. A change that is sent again under the same id is applied only once. */
	changeId: z.string().min(1).max(128).regex(/^[\w\-]+$/v),
	reason: z.string().max(1000).default(''),
	expectedRevision: z.number().int().nonnegative().optional(),
};

const changeBodySchema = z.strictObject({
	...commonChangeFields,
	edits: z.array(z.strictObject({path: z.string().startsWith('/'), value: z.json().optional()})).min(1),
});

const rollbackBodySchema = z.strictObject({
	...commonChangeFields,
	toRevision: z.number().int().nonnegative(),
});

const pageSchema = z.object({
	after: z.coerce.number().int().nonnegative().default(0),
	limit: z.coerce.number().int().positive().max(maxChangesPerPage).default(defaultChangesPerPage),
});

const ok = (body: JsonObject): OperatorsResponse => ({type: 'ok', body});

const isDryRun = (request: OperatorsRequest): boolean => request.query.get('dryRun') === 'true';

const toDryRunResponse = ({baseRevision, diff}: CheckedChange): OperatorsResponse => ok({baseRevision, diff: editsToJson(diff)});

/** Whether the path equals the prefix or is below it. */
const isUnder = (path: string, prefix: string): boolean => {
	const base = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
	return path === base || path.startsWith(`${base}/`);
};

class SettingsRoutes {
	readonly #store: SettingsStore;
	readonly #replica: SettingsReplica;
	readonly #review: ChangeReview;

	constructor({store, replica, review}: SettingsRoutesOptions) {
		this.#store = store;
		this.#replica = replica;
		this.#review = review;
	}

	read(request: OperatorsRequest): OperatorsResponse {
		if (!this.#replica.isReady) {
			return notReady();
		}

		const prefix = request.query.get('prefix') ?? '/';
		const settings = [...this.#replica.tree].filter(([path]) => isUnder(path, prefix));
		return ok({revision: this.#replica.revision, settings: Object.fromEntries(settings)});
	}

	async change(request: OperatorsRequest): Promise<OperatorsResponse> {
		const parsed = parseWith(changeBodySchema, request.body, 'body');
		if (E.isLeft(parsed)) {
			return badRequest(parsed.left);
		}

		const {changeId, reason, expectedRevision} = parsed.right;
		const edits = parsed.right.edits.map((edit): SettingsEdit => ({path: edit.path, value: edit.value}));
		if (isDryRun(request)) {
			return toDryRunResponse(await this.#store.checkChange(edits, this.#review));
		}

		return this.#publish(await this.#store.commitChange({
			changeId, reason, expectedRevision, edits, author: request.operator, fences: [], review: this.#review,
		}));
	}

	async rollBack(request: OperatorsRequest): Promise<OperatorsResponse> {
		const parsed = parseWith(rollbackBodySchema, request.body, 'body');
		if (E.isLeft(parsed)) {
			return badRequest(parsed.left);
		}

		const {changeId, reason, expectedRevision, toRevision} = parsed.right;
		if (isDryRun(request)) {
			return toDryRunResponse(await this.#store.checkRollback(toRevision, this.#review));
		}

		return this.#publish(await this.#store.rollback({
			changeId, reason, expectedRevision, toRevision, author: request.operator, fences: [], review: this.#review,
		}));
	}

	async listChanges(request: OperatorsRequest): Promise<OperatorsResponse> {
		const parsed = parseWith(pageSchema, Object.fromEntries(request.query), 'query');
		if (E.isLeft(parsed)) {
			return badRequest(parsed.left);
		}

		const changes = await this.#store.history(parsed.right.after, parsed.right.limit);
		return ok({changes: changes.map(change => changeToJson(change))});
	}

	/** Offers the change to the replica, which puts it in force here and propagates it to the other processes. */
	#publish(change: SettingsChange): OperatorsResponse {
		this.#replica.offerChanges([change]);
		return ok({change: changeToJson(change), diff: editsToJson(change.edits)});
	}
}

/** Creates the routes for settings. */
export const settingsRoutes = (options: SettingsRoutesOptions): readonly OperatorsRoute[] => {
	const routes = new SettingsRoutes(options);
	return [
		{method: 'GET', pattern: /^\/v1\/settings$/v, handle: request => routes.read(request)},
		{method: 'POST', pattern: /^\/v1\/changes$/v, handle: async request => routes.change(request)},
		{method: 'GET', pattern: /^\/v1\/changes$/v, handle: async request => routes.listChanges(request)},
		{method: 'POST', pattern: /^\/v1\/rollback$/v, handle: async request => routes.rollBack(request)},
	];
};
