/**
The state of a gate. Queues, counts and health mutate private state that only the reducer owns, because a gate handles thousands of events a second; everything else is replaced.
*/
import {type FleetSettings, type JsonObject, type JsonValue} from '@poplarnotch/common';
import {TimerWheel} from './dispatch/timer-wheel.js';
import {FairQueue, type TeamLoad} from './dispatch/fair-queue.js';
import {RandomStream} from './dispatch/random-stream.js';
import {type Timer, type TrackedRequest} from './dispatch/tracked-request.js';
import {RetryBudget} from './retries/retry-budget.js';
import {type ServerPolicy, TwoChoicesPolicy} from './routing/server-policy.js';
import {ServerTable} from './routing/server-table.js';
import {type GateGrants, type RequestId} from './types.js';

/** State of one pool at a gate. */
export type PoolState = {
	readonly queue: FairQueue<TrackedRequest>;
	readonly retryBudget: RetryBudget;
};

/** The complete state of a gate. */
export type GateState = {
	settings: FleetSettings;
	grants: GateGrants;
	isFresh: boolean;
	isDraining: boolean;
	readonly requests: Map<RequestId, TrackedRequest>;
	/** Number of requests that are waiting or being claimed, by queue. */
	readonly queuedByQueue: Map<string, number>;
	/** Number of slots that each team holds over all pools, including those in their cancel grace period. */
	readonly runningByTeam: Map<string, number>;
	readonly pools: Map<string, PoolState>;
	readonly servers: ServerTable;
	readonly timers: TimerWheel<Timer>;
	readonly serverPolicy: ServerPolicy;
	readonly random: RandomStream;
};

const noGrants: GateGrants = {slotsByHost: new Map(), allotmentByTeam: new Map()};

/** Initial state of a gate: it has its settings and trusts them, but has no servers and no grants. */
export const createGateState = (settings: FleetSettings): GateState => ({
	settings,
	grants: noGrants,
	isFresh: true,
	isDraining: false,
	requests: new Map(),
	queuedByQueue: new Map(),
	runningByTeam: new Map(),
	pools: new Map(),
	servers: new ServerTable(),
	timers: new TimerWheel(),
	serverPolicy: new TwoChoicesPolicy(),
	random: new RandomStream(),
});

/** Returns the pool's state, which is created at its first use. */
export const poolOf = (state: GateState, pool: string): PoolState => {
	let poolState = state.pools.get(pool);
	if (poolState === undefined) {
		poolState = {queue: new FairQueue(), retryBudget: new RetryBudget()};
		state.pools.set(pool, poolState);
	}

	return poolState;
};

/** Weight of a team in a pool: the allocated weight if there is one, otherwise the team's share. */
export const weightOf = (state: GateState, pool: string, team: string): number =>
	state.grants.weightsByPool?.get(pool)?.get(team) ?? state.settings.teams.get(team)?.share ?? 1;

/** Running and waiting requests of each team at this gate. */
export const teamDemands = (state: GateState): ReadonlyMap<string, TeamLoad> => {
	const demands = new Map<string, TeamLoad>();
	for (const loads of poolDemands(state).values()) {
		for (const [team, load] of loads) {
			const sum = demands.get(team) ?? {running: 0, waiting: 0};
			demands.set(team, {running: sum.running + load.running, waiting: sum.waiting + load.waiting});
		}
	}

	return demands;
};

/** Running and waiting requests at this gate, by pool and team. */
export const poolDemands = (state: GateState): ReadonlyMap<string, ReadonlyMap<string, TeamLoad>> =>
	new Map([...state.pools].map(([name, pool]) => [name, pool.queue.loads()]));

/** Number of slots that this gate holds on the host, including those in their cancel grace period. */
export const runningOnHost = (state: GateState, host: string): number => state.servers.running(host);

const objectFrom = <Value>(map: ReadonlyMap<string, Value>, toJson: (value: Value) => JsonValue): JsonObject =>
	Object.fromEntries([...map].map(([name, value]) => [name, toJson(value)]));

const describeRequest = (request: TrackedRequest): JsonObject => ({
	requestId: request.requestId,
	queue: request.queue,
	pool: request.pool,
	team: request.team,
	method: request.arrived.method,
	phase: request.phase,
	isClaimed: request.isClaimed,
	isCallerGone: request.isCallerGone,
	arrivedAtMs: request.arrivedAtMs,
	attempts: request.attempts,
	host: request.running?.slot.host ?? '',
});

const describePool = (pool: PoolState): JsonObject => ({
	waiting: pool.queue.waiting,
	meanRunMs: pool.queue.meanRunMs,
	retryTokens: pool.retryBudget.tokens,
	teams: objectFrom(pool.queue.loads(), load => load),
});

/** The state as JSON for `/dump`, without API keys and idempotency keys. */
export const describeGateState = (state: GateState): JsonObject => ({
	revision: state.settings.revision,
	isFresh: state.isFresh,
	isDraining: state.isDraining,
	slotsByHost: objectFrom(state.grants.slotsByHost, slots => slots),
	allotmentByTeam: objectFrom(state.grants.allotmentByTeam, amount => amount),
	runningByTeam: objectFrom(state.runningByTeam, running => running),
	queuedByQueue: objectFrom(state.queuedByQueue, queued => queued),
	pools: objectFrom(state.pools, describePool),
	servers: state.servers.describe(),
	requests: [...state.requests.values()].map(describeRequest),
});
