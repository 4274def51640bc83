/**
Routes for the whole fleet and for single processes: the in-force report, the overview and dumps.
*/
import * as E from 'fp-ts/lib/Either.js';
import {request as httpRequest} from 'undici';
import {
	type FleetSettings, type JsonObject, parseWith, z,
} from '@poplarnotch/common';
import {PeerUnreachableError, type ProcessRevisionStatus, type SettingsReplica} from '@poplarnotch/state';
import {type InForceReporter} from './in-force-reporter.js';
import {badRequest, notFound, notReady} from './problems.js';
import {type OperatorsResponse, type OperatorsRequest, type OperatorsRoute} from './types.js';

/** Dependencies of the status routes. */
export type StatusRoutesOptions = {
	readonly replica: SettingsReplica;
	readonly reporter: InForceReporter;
};

/** Timeout of the request for a process's dump. */
const dumpTimeoutMs = 2000;

const inForceQuerySchema = z.object({revision: z.coerce.number().int().nonnegative().optional()});

const ok = (body: JsonObject): OperatorsResponse => ({type: 'ok', body});

const processToJson = ({processId, role, revision, state}: ProcessRevisionStatus): JsonObject =>
	({
		processId, role, state, ...(revision === undefined ? {} : {revision}),
	});

const teamsOverview = (settings: FleetSettings): JsonObject =>
	Object.fromEntries([...settings.teams].map(([name, team]) => [name, {
		share: team.share,
		upperLimit: team.upperLimit,
		keys: [...settings.keys.values()].filter(key => key.team === name && !key.withdrawn).length,
	}]));

const poolsOverview = (settings: FleetSettings): JsonObject => {
	const hosts = [...settings.hosts.values()];
	return Object.fromEntries([...settings.pools.keys()].map(pool => {
		const ofPool = hosts.filter(host => host.pool === pool);
		return [pool, {
			hosts: ofPool.length,
			serving: ofPool.filter(host => host.state === 'serving').length,
			budgets: [...settings.budgets].filter(([, budget]) => budget.pool === pool).map(([name]) => name),
		}];
	}));
};

const wavesOverview = (settings: FleetSettings): JsonObject =>
	Object.fromEntries([...settings.waves].map(([name, wave]) => [name, {state: wave.state, pools: wave.pools, change: wave.change}]));

class StatusRoutes {
	readonly #replica: SettingsReplica;
	readonly #reporter: InForceReporter;

	constructor({replica, reporter}: StatusRoutesOptions) {
		this.#replica = replica;
		this.#reporter = reporter;
	}

	async inForce(request: OperatorsRequest): Promise<OperatorsResponse> {
		const parsed = parseWith(inForceQuerySchema, Object.fromEntries(request.query), 'query');
		if (E.isLeft(parsed)) {
			return badRequest(parsed.left);
		}

		const report = await this.#reporter.inForce(parsed.right.revision ?? this.#replica.revision);
		return ok({
			revision: report.revision,
			isInForce: report.isInForce,
			processes: report.processes.map(processToJson),
		});
	}

	async status(): Promise<OperatorsResponse> {
		if (!this.#replica.isReady) {
			return notReady();
		}

		const {current} = this.#replica;
		const {processes} = await this.#reporter.inForce(current.revision);
		return ok({
			revision: current.revision,
			processes: processes.map(processToJson),
			teams: teamsOverview(current),
			pools: poolsOverview(current),
			waves: wavesOverview(current),
		});
	}

	async dump(request: OperatorsRequest): Promise<OperatorsResponse> {
		const {processId} = request.parameters;
		const member = this.#reporter.members.find(candidate => candidate.processId === processId);
		if (member === undefined) {
			return notFound(`No process "${processId}" is registered`);
		}

		try {
			const response = await httpRequest(new URL('/dump', member.operationsUrl), {signal: AbortSignal.timeout(dumpTimeoutMs)});
			return ok(await response.body.json() as JsonObject);
		} catch (error) {
			throw new PeerUnreachableError(`${processId} at ${member.operationsUrl} did not answer`, {cause: error});
		}
	}
}

/** Creates the routes for the fleet and its processes. */
export const statusRoutes = (options: StatusRoutesOptions): readonly OperatorsRoute[] => {
	const routes = new StatusRoutes(options);
	return [
		{method: 'GET', pattern: /^\/v1\/in-force$/v, handle: async request => routes.inForce(request)},
		{method: 'GET', pattern: /^\/v1\/status$/v, handle: async () => routes.status()},
		{method: 'GET', pattern: /^\/v1\/processes\/(?<processId>[^\/]+)\/dump$/v, handle: async request => routes.dump(request)},
	];
};
