/**
Collects the decisions of one tick: the effects to perform, the pending calls, and the waves and drains after the tick. A `Decision` exists only during one run of the reducer, which builds the next state from it.
*/
import {type SettingsEdit} from '@poplarnotch/common';
import {BudgetTracker} from './budgets/budget-tracker.js';
import {callTimeoutMs, maxListingAgeMs} from './constants.js';
import {isServing} from './observations.js';
import {
	type FleetEffect, type FleetState, type MoveDrain, type SettingsCall, type WaveProgress, type WaveRecord,
} from './types.js';

type CallEffect = Extract<FleetEffect, {readonly call: string}>;

/** A change of settings that a decision requests. */
export type RequestedChange = {
	/** The entity that changes, such as `/hosts/h1`; at most one change of it is pending at a time. */
	readonly entity: string;
	/** Name of the action, such as `cordon`. */
	readonly action: string;
	readonly fields: Readonly<Record<string, string | number | undefined>>;
	/** The change conflicts with any change of the entity after this revision. */
	readonly expectedRevision: number;
	/** True for the start of planned work, which conflicts with any change of the settings. */
	readonly isExclusive?: boolean;
};

const changeCall = (entity: string): string => `change:${entity}`;

const hostChangePrefix = changeCall('/hosts/');

/** Whether a call is a change of settings. Such a call never times out, because further decisions depend on its outcome. */
const isChange = (call: string): boolean => call.startsWith('change:');

const editsOf = ({entity, fields}: RequestedChange): readonly SettingsEdit[] => Object.entries(fields)
	.map(([field, value]): SettingsEdit => ({path: `${entity}/${field}`, value}));

const settingsCall = (changes: readonly RequestedChange[]): SettingsCall => ({
	type: 'commitHostChange',
	calls: changes.map(({entity}) => changeCall(entity)),
	reason: `${changes[0]!.action} by the fleet planner`,
	edits: changes.flatMap(change => editsOf(change)),
	expectedRevision: changes[0]!.expectedRevision,
	isExclusive: changes.some(({isExclusive}) => isExclusive === true),
});

const takenHosts = (state: FleetState): ReadonlySet<string> => {
	const hostsOfWaves = [...state.waves?.values() ?? []].flatMap(record => Object.keys(record.progress.hosts));
	const changing = [...state.pending.keys()].filter(call => call.startsWith(hostChangePrefix)).map(call => call.slice(hostChangePrefix.length));
	return new Set([...hostsOfWaves, ...changing]);
};

/** Mutable working copy of the state during one tick. */
export class Decision {
	readonly effects: FleetEffect[] = [];
	readonly nowMs: number;
	readonly state: FleetState;
	/** Tracks how many hosts the budgets allow to take out of service now. */
	readonly budgets: BudgetTracker;
	/** Hosts that waves have taken or that have a pending change; the tick adds those that it takes. */
	readonly taken: Set<string>;
	readonly #pending: Map<string, number>;
	readonly #waves: Map<string, WaveRecord>;
	readonly #acceptedReboots: Map<string, number>;
	readonly #moveDrains: Map<string, MoveDrain>;
	readonly #blockedLog: Map<string, string>;
	readonly #changes = new Map<string, RequestedChange[]>();

	constructor(state: FleetState, nowMs: number) {
		this.state = state;
		this.nowMs = nowMs;
		this.taken = new Set(takenHosts(state));
		this.budgets = new BudgetTracker({
			settings: state.settings, observations: state.observations, nowMs, taken: this.taken,
		});
		this.#pending = new Map(state.pending);
		this.#waves = new Map(state.waves);
		this.#acceptedReboots = new Map(state.acceptedReboots);
		this.#moveDrains = new Map(state.moveDrains);
		this.#blockedLog = new Map(state.blockedLog);
	}

	/** Whether the host list is recent enough to start planned work. */
	get isHostListFresh(): boolean {
		const {listedAtMs} = this.state;
		return listedAtMs !== undefined && this.nowMs - listedAtMs <= maxListingAgeMs;
	}

	/** All waves that have begun. */
	get waves(): ReadonlyMap<string, WaveRecord> {
		return this.#waves;
	}

	/** Releases a host that was taken and has no pending change. The budgets count it as serving again if it serves. */
	releaseHost(name: string): void {
		const host = this.state.settings.hosts.get(name);
		this.taken.delete(name);
		if (host !== undefined && isServing(host, this.state.observations.get(name))) {
			this.budgets.addHostToPool(name, host.pool);
		}
	}

	/** Marks hosts as taken. It does not change the budget tracker: the caller counts the hosts as lost there if needed. */
	markTaken(names: readonly string[]): void {
		for (const name of names) {
			this.taken.add(name);
		}
	}

	/** Makes a call unless the same call is still pending. */
	call(effect: CallEffect): void {
		if (!this.isPending(effect.call)) {
			this.#pending.set(effect.call, this.nowMs);
			this.effects.push(effect);
		}
	}

	isPending(call: string): boolean {
		const sinceMs = this.#pending.get(call);
		return sinceMs !== undefined && (isChange(call) || this.nowMs - sinceMs < callTimeoutMs);
	}

	/** Whether a change of the entity is pending. */
	isChanging(entity: string): boolean {
		return this.isPending(changeCall(entity));
	}

	/** Requests a change of settings. Changes with the same action and expected revision are committed together. */
	change(requested: RequestedChange): void {
		const call = changeCall(requested.entity);
		if (this.isPending(call)) {
			return;
		}

		this.#pending.set(call, this.nowMs);
		const key = `${requested.action}@${requested.expectedRevision}`;
		this.#changes.set(key, [...this.#changes.get(key) ?? [], requested]);
	}

	/** Creates a budget tracker for the time when all taken hosts have returned; hosts that move to another pool do not count as serving. */
	projectBudgets(): BudgetTracker {
		const {settings, observations} = this.state;
		const returning = new Set([...this.taken].filter(name => settings.hosts.get(name)?.targetPool === undefined && settings.hosts.has(name)));
		return new BudgetTracker({
			settings, observations, nowMs: this.nowMs, taken: this.taken, returning,
		});
	}

	updateWave(progress: WaveProgress): void {
		const known = this.#waves.get(progress.wave);
		this.#waves.set(progress.wave, {saved: known?.saved, version: known?.version ?? 0, progress});
	}

	/** When the platform accepted the reboot; `undefined` if it has not accepted it yet. */
	rebootAcceptedAtMs(rebootId: string): number | undefined {
		return this.#acceptedReboots.get(rebootId);
	}

	clearReboot(rebootId: string): void {
		this.#acceptedReboots.delete(rebootId);
	}

	/** Returns the drain of a host that moves, and starts it if there is none. */
	ensureMoveDrain(host: string): MoveDrain {
		const known = this.#moveDrains.get(host);
		if (known !== undefined) {
			return known;
		}

		const drain = {revision: this.state.settings.revision, sinceMs: this.nowMs};
		this.#moveDrains.set(host, drain);
		return drain;
	}

	/** Drains for moves, by host. */
	get moveDrains(): ReadonlyMap<string, MoveDrain> {
		return this.#moveDrains;
	}

	clearMoveDrain(host: string): void {
		this.#moveDrains.delete(host);
	}

	info(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
		this.effects.push({type: 'log', level: 'info', fields: {event, ...fields}});
	}

	warn(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
		this.effects.push({type: 'log', level: 'warn', fields: {event, ...fields}});
	}

	/** Logs why a wave or move is blocked, once for each new reason; an empty reason clears it. */
	reportBlocked(subject: string, reason: string): void {
		if ((this.#blockedLog.get(subject) ?? '') === reason) {
			return;
		}

		this.#blockedLog.set(subject, reason);
		if (reason !== '') {
			this.warn('fleet_blocked', {subject, reason});
		}
	}

	/** Returns the state after this tick. The decision must not be used afterwards. */
	finish(): FleetState {
		this.effects.push(...[...this.#changes.values()].map(changes => settingsCall(changes)));
		return {
			...this.state,
			waves: this.#waves,
			pending: this.#pending,
			acceptedReboots: this.#acceptedReboots,
			moveDrains: this.#moveDrains,
			blockedLog: this.#blockedLog,
		};
	}
}
