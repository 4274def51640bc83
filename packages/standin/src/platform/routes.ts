/**
Routes of the platform's HTTP interface and of the stand-in's control interface (`/faults`, `/backends`, `/counts`, `/hosts/{host}`).
*/
import * as E from 'fp-ts/lib/Either.js';
import {InvalidInputError, parseWith, z} from '@poplarnotch/common';
import {
	objectPutSchema, rebootRequestSchema, rowsRequestSchema, taskRenewalSchema, taskSpecSchema, transactionSchema, workerHostsSchema,
} from '@poplarnotch/platform';
import {backendFaultsSchema, platformFaultsSchema} from './faults.js';
import {type PlatformStandIn} from './platform-stand-in.js';

/** Parsed parts of a request that are passed to a route. */
type RouteRequest = {
	readonly params: Readonly<Record<string, string>>;
	readonly query: URLSearchParams;
	readonly body: unknown;
};

/** One route. Faults and rate limits do not apply to routes of kind `control`. */
export type PlatformRoute = {
	readonly method: string;
	readonly pattern: RegExp;
	readonly kind: 'read' | 'write' | 'control';
	/** Resolves to the response body; `undefined` results in status 404. */
	readonly handle: (call: RouteRequest) => Promise<unknown>;
};

const listedHostSchema = z.strictObject({state: z.enum(['live', 'leaving', 'gone'])});

const parseBody = <Schema extends z.ZodType>(schema: Schema, body: unknown): z.infer<Schema> => {
	const checked = parseWith(schema, body, 'body');
	if (E.isLeft(checked)) {
		throw new InvalidInputError(checked.left.map(finding => `${finding.place}: ${finding.message}`).join('; '));
	}

	return checked.right;
};

const limitOf = (query: URLSearchParams): number | undefined =>
	query.has('limit') ? Number(query.get('limit')) : undefined;

const tableRoutes = ({table}: PlatformStandIn): readonly PlatformRoute[] => [
	{
		method: 'POST',
		pattern: /^\/table\/commit$/v,
		kind: 'write',
		handle: async ({body}) => table.commit(parseBody(transactionSchema, body)),
	},
	{
		method: 'POST',
		pattern: /^\/table\/rows$/v,
		kind: 'read',
		handle: async ({body}) => ({rows: await table.readRows(parseBody(rowsRequestSchema, body).keys)}),
	},
	{
		method: 'GET',
		pattern: /^\/table\/prefix$/v,
		kind: 'read',
		handle: async ({query}) => table.readPrefix(query.get('prefix') ?? '', {
			afterKey: query.get('afterKey') ?? undefined,
			limit: limitOf(query),
		}),
	},
	{
		method: 'GET',
		pattern: /^\/table\/changes$/v,
		kind: 'read',
		handle: async ({query}) => table.changesSince(query.get('prefix') ?? '', Number(query.get('since') ?? 0), limitOf(query)),
	},
];

const objectRoutes = ({objects}: PlatformStandIn): readonly PlatformRoute[] => [
	{
		method: 'GET',
		pattern: /^\/objects\/(?<key>.+)$/v,
		kind: 'read',
		handle: async ({params}) => objects.get(decodeURIComponent(params.key!)),
	},
	{
		method: 'PUT',
		pattern: /^\/objects\/(?<key>.+)$/v,
		kind: 'write',
		async handle({params, body}) {
			const {text, condition} = parseBody(objectPutSchema, body);
			return {etag: await objects.put(decodeURIComponent(params.key!), text, condition)};
		},
	},
];

const hostRoutes = ({hosts, workers}: PlatformStandIn): readonly PlatformRoute[] => [
	{
		method: 'GET',
		pattern: /^\/hosts$/v,
		kind: 'read',
		handle: async ({query}) => hosts.listSince(Number(query.get('after') ?? 0)),
	},
	{
		method: 'POST',
		pattern: /^\/workers\/report$/v,
		kind: 'read',
		handle: async ({body}) => ({reports: await workers.report(parseBody(workerHostsSchema, body).hosts)}),
	},
	{
		method: 'POST',
		pattern: /^\/workers\/(?<host>[^\/]+)\/reboot$/v,
		kind: 'write',
		async handle({params, body}) {
			const {rebootId, change} = parseBody(rebootRequestSchema, body);
			await workers.reboot(params.host!, rebootId, change);
			return {};
		},
	},
	{
		method: 'POST',
		pattern: /^\/workers\/(?<host>[^\/]+)\/tasks\/(?<task>[^\/]+)\/(?<verb>start|renew|throttle|checkpoint|stop)$/v,
		kind: 'write',
		async handle({params, body}) {
			const {host, task, verb} = params as {host: string; task: string; verb: 'start' | 'renew' | 'throttle' | 'checkpoint' | 'stop'};
			switch (verb) {
				case 'start': {
					await workers.startTask(host, parseBody(taskSpecSchema, body));
					break;
				}

				case 'renew': {
					await workers.renewTask(host, task, parseBody(taskRenewalSchema, body).leaseMs);
					break;
				}

				case 'throttle': {
					await workers.throttleTask(host, task);
					break;
				}

				case 'checkpoint': {
					await workers.checkpointTask(host, task);
					break;
				}

				case 'stop': {
					await workers.stopTask(host, task);
					break;
				}
			}

			return {};
		},
	},
];

const controlRoutes = (platform: PlatformStandIn): readonly PlatformRoute[] => [
	{
		method: 'GET',
		pattern: /^\/faults$/v,
		kind: 'control',
		handle: async () => platform.faults,
	},
	{
		method: 'POST',
		pattern: /^\/faults$/v,
		kind: 'control',
		async handle({body}) {
			platform.setFaults(parseBody(platformFaultsSchema.partial(), body));
			return platform.faults;
		},
	},
	{
		method: 'GET',
		pattern: /^\/counts$/v,
		kind: 'control',
		handle: async () => platform.counts,
	},
	{
		method: 'POST',
		pattern: /^\/hosts\/(?<host>[^\/]+)$/v,
		kind: 'control',
		async handle({params, body}) {
			const {state} = parseBody(listedHostSchema, body);
			if (state === 'gone') {
				platform.hosts.remove(params.host!);
			} else {
				platform.hosts.put(params.host!, state);
			}

			return {hosts: platform.hosts.current};
		},
	},
	{
		method: 'GET',
		pattern: /^\/backends$/v,
		kind: 'control',
		handle: async () => ({
			faults: Object.fromEntries(platform.backendFaults),
			rebooting: [...platform.hosts.rebooting],
			changes: Object.fromEntries(platform.hosts.appliedChanges),
		}),
	},
	{
		method: 'POST',
		pattern: /^\/backends\/(?<host>[^\/]+)\/faults$/v,
		kind: 'control',
		async handle({params, body}) {
			platform.setBackendFaults(params.host!, parseBody(backendFaultsSchema.partial(), body));
			return {faults: platform.backendFaults.get(params.host!)};
		},
	},
];

/** Returns all routes of the stand-in. */
export const platformRoutes = (platform: PlatformStandIn): readonly PlatformRoute[] => [
	...tableRoutes(platform),
	...objectRoutes(platform),
	...hostRoutes(platform),
	...controlRoutes(platform),
];
