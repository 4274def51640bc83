/**
Simulates the environment of the fleet's reducer: hosts, a delayed host list, gates with requests in flight, settings with revisions, wave rows, and controllers that lose and take the lease. The simulation runs on virtual time and records every violation of an invariant.
*/
import {
	applyEdits, compileFleetSettings, type FleetSettings, SeededRandom, type SettingsEdit, VirtualClock,
} from '@poplarnotch/common';
import * as E from 'fp-ts/lib/Either.js';
import {initialFleetState, reduceFleet} from '../../src/fleet/reducer.js';
import {
	type FleetEffect, type FleetEvent, type FleetState, type StoredWave,
} from '../../src/fleet/types.js';

type EffectOf<Type extends FleetEffect['type']> = Extract<FleetEffect, {readonly type: Type}>;

export type SimulationOptions = {
	readonly seed: number;
	readonly edits: readonly SettingsEdit[];
	readonly listLagMs: number;
	readonly gateLagMs: number;
	readonly rebootMs: number;
	/** Share of calls whose response is lost. */
	readonly lossShare: number;
	/** Share of changes before which an operator's change of the same pool or host is committed. */
	readonly raceShare?: number;
	/** Time after a boot for which the host is listed as live but does not serve yet. */
	readonly warmUpMs?: number;
	/** Whether the change breaks the host. */
	readonly isBroken?: (host: string) => boolean;
	/** Replaces the reducer, to verify that the checks detect a faulty one. */
	readonly reduce?: typeof reduceFleet;
};

type SimulatedHost = {
	isUp: boolean;
	downSinceMs: number;
	/** Until this time the host does not serve although it is listed as live. */
	unhealthyUntilMs: number;
	/** When the host became unhealthy. */
	unhealthySinceMs: number;
	bootCount: number;
	readonly rebootIds: Set<string>;
};

type Gate = {
	readonly id: string;
	revision: number;
	requests: Array<{host: string; endMs: number}>;
};

type Controller = {
	readonly id: string;
	state: FleetState;
	leaseTerm: number;
	pausedUntilMs: number;
	backlog: FleetEvent[];
};

const tickMs = 500;
const gateStepMs = 250;

export class FleetSimulation {
	readonly clock = new VirtualClock();
	readonly violations: string[] = [];
	readonly hosts = new Map<string, SimulatedHost>();
	readonly rows = new Map<string, StoredWave>();
	readonly settingsByRevision: FleetSettings[] = [];
	readonly reboots: string[] = [];
	tableDownUntilMs = 0;
	/** Time within which the controllers may not know of a failure yet. */
	readonly #detectionMs: number;
	readonly #options: SimulationOptions;
	readonly #random: SeededRandom;
	readonly #gates: Gate[];
	readonly #controllers: Controller[];
	readonly #listings: Array<{atMs: number; hosts: ReadonlyArray<{host: string; state: 'live'; bootCount: number}>}> = [];
	readonly #changedAt = new Map<string, number>();
	#tree = new Map<string, SettingsEdit['value']>();
	#rowVersion = 0;
	#leaseTerm = 1;

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.#random = new SeededRandom(options.seed);
		this.#detectionMs = options.listLagMs + 2500;
		this.#gates = ['g1', 'g2'].map(id => ({id, revision: 1, requests: []}));
		this.#controllers = ['c1', 'c2'].map(id => ({
			id, state: initialFleetState, leaseTerm: 0, pausedUntilMs: 0, backlog: [],
		}));
		this.settingsByRevision.push(this.#compile([], 0));
		this.edit(options.edits);
		for (const host of this.settings.hosts.keys()) {
			this.hosts.set(host, {
				isUp: true, downSinceMs: 0, unhealthyUntilMs: 0, unhealthySinceMs: 0, bootCount: 1, rebootIds: new Set(),
			});
		}

		this.#recordListing();
		this.#scheduleEvery(tickMs, () => {
			this.#tickControllers();
		});
		this.#scheduleEvery(gateStepMs, () => {
			this.#stepGates();
		});
		this.#scheduleEvery(1000, () => {
			this.#sendListings();
		});
		this.changeController(0);
	}

	get settings(): FleetSettings {
		return this.settingsByRevision.at(-1)!;
	}

	get nowMs(): number {
		return this.clock.nowMs();
	}

	run(forMs: number): void {
		this.clock.advance(forMs);
	}

	/** Runs until the condition holds; returns false if it does not hold within the time. */
	runUntil(condition: () => boolean, withinMs: number): boolean {
		const endMs = this.nowMs + withinMs;
		while (!condition() && this.nowMs < endMs) {
			this.clock.advance(1000);
		}

		return condition();
	}

	/** Commits a change of the settings and delivers it to the controllers and gates after random delays. */
	edit(edits: readonly SettingsEdit[]): void {
		this.#tree = new Map(applyEdits(this.#tree as never, edits));
		const revision = this.settingsByRevision.length;
		for (const {path} of edits) {
			this.#changedAt.set(path.split('/').slice(0, 3).join('/'), revision);
		}

		const settings = this.#compile([...this.#tree], revision);
		this.settingsByRevision.push(settings);
		for (const controller of this.#controllers) {
			this.#schedule(this.#randomDelay(300), () => {
				if (controller.state.settings.revision < settings.revision) {
					this.#deliver(controller, {type: 'settingsChanged', settings});
				}
			});
		}

		for (const gate of this.#gates) {
			this.#schedule(this.#randomDelay(this.#options.gateLagMs), () => {
				gate.revision = Math.max(gate.revision, revision);
			});
		}
	}

	setHost(host: string, fields: Readonly<Record<string, string | undefined>>): void {
		this.edit(Object.entries(fields).map(([field, value]) => ({path: `/hosts/${host}/${field}`, value})));
	}

	/** Drains a host as an operator does, and sets it back to serving later. */
	drainByOperator(name: string, forMs: number): void {
		this.setHost(name, {state: 'leaving'});
		this.#schedule(forMs, () => {
			if (this.settings.hosts.get(name)!.state === 'leaving') {
				this.setHost(name, {state: 'serving'});
			}
		});
	}

	crash(host: string, forMs: number): void {
		this.#takeDown(host);
		this.#schedule(forMs, () => {
			this.#bringUp(host);
		});
	}

	crashRack(rack: string, forMs: number): void {
		for (const [name, host] of this.settings.hosts) {
			if (`${host.dataCentre}/${host.rack}` === rack) {
				this.crash(name, forMs);
			}
		}
	}

	/** Transfers the lease to the other controller. The former holder is paused and is not notified. */
	changeController(pauseMs: number): void {
		this.#leaseTerm++;
		const former = this.#controllers.find(({leaseTerm}) => leaseTerm === this.#leaseTerm - 1);
		const next = this.#controllers.find(controller => controller !== former)!;
		if (former !== undefined) {
			former.pausedUntilMs = this.nowMs + pauseMs;
		}

		next.leaseTerm = this.#leaseTerm;
		next.pausedUntilMs = 0;
		this.#deliver(next, {type: 'leaseTaken', revision: this.settings.revision});
	}

	/** Makes the host stop serving although it stays in the host list. Gates report a suspicion immediately. */
	makeUnhealthy(host: string, forMs: number): void {
		const simulated = this.hosts.get(host)!;
		simulated.unhealthySinceMs = this.nowMs;
		simulated.unhealthyUntilMs = this.nowMs + forMs;
		this.suspect(host);
	}

	suspect(host: string): void {
		for (const controller of this.#controllers) {
			this.#deliver(controller, {type: 'hostSuspected', nowMs: this.nowMs, host});
		}
	}

	#compile(tree: ReadonlyArray<readonly [string, SettingsEdit['value']]>, revision: number): FleetSettings {
		const compiled = compileFleetSettings(new Map(tree) as never, revision);
		if (E.isLeft(compiled)) {
			throw new TypeError(JSON.stringify(compiled.left));
		}

		return compiled.right;
	}

	#scheduleEvery(intervalMs: number, action: () => void): void {
		this.clock.schedule(intervalMs, () => {
			action();
			this.#scheduleEvery(intervalMs, action);
		});
	}

	#schedule(delayMs: number, action: () => void): void {
		this.clock.schedule(delayMs, action);
	}

	#randomDelay(maxMs: number): number {
		return Math.ceil(this.#random.next() * maxMs);
	}

	#isResponseLost(): boolean {
		return this.#random.next() < this.#options.lossShare;
	}

	#takeDown(host: string): void {
		const simulated = this.hosts.get(host)!;
		if (simulated.isUp) {
			simulated.isUp = false;
			simulated.downSinceMs = this.nowMs;
			for (const gate of this.#gates) {
				gate.requests = gate.requests.filter(request => request.host !== host);
			}

			this.#recordListing();
		}
	}

	#bringUp(host: string): void {
		const simulated = this.hosts.get(host)!;
		if (!simulated.isUp) {
			simulated.isUp = true;
			simulated.bootCount++;
			simulated.unhealthySinceMs = this.nowMs;
			simulated.unhealthyUntilMs = Math.max(simulated.unhealthyUntilMs, this.nowMs + (this.#options.warmUpMs ?? 0));
			this.#recordListing();
		}
	}

	#recordListing(): void {
		const hosts = [...this.hosts]
			.filter(([, simulated]) => simulated.isUp)
			.map(([host, simulated]) => ({host, state: 'live' as const, bootCount: simulated.bootCount}));
		this.#listings.push({atMs: this.nowMs, hosts});
	}

	#sendListings(): void {
		const atMs = this.nowMs - this.#options.listLagMs;
		const listing = this.#listings.findLast(candidate => candidate.atMs <= atMs);
		if (listing === undefined) {
			return;
		}

		for (const controller of this.#controllers) {
			this.#deliver(controller, {
				type: 'hostsListed', nowMs: this.nowMs, ageMs: this.#options.listLagMs, hosts: listing.hosts,
			});
		}
	}

	#stepGates(): void {
		for (const gate of this.#gates) {
			gate.requests = gate.requests.filter(request => request.endMs > this.nowMs);
			const settings = this.settingsByRevision[gate.revision]!;
			for (const [host, {state}] of settings.hosts) {
				if (state === 'serving' && this.hosts.get(host)!.isUp && this.#random.next() < 0.2) {
					gate.requests.push({host, endMs: this.nowMs + this.#randomDelay(1500)});
				}
			}
		}
	}

	#inFlight(host: string): number {
		return this.#gates.flatMap(gate => gate.requests).filter(request => request.host === host && request.endMs > this.nowMs).length;
	}

	#tickControllers(): void {
		for (const controller of this.#controllers) {
			this.#deliver(controller, {type: 'tick', nowMs: this.nowMs});
		}
	}

	#deliver(controller: Controller, event: FleetEvent): void {
		if (controller.pausedUntilMs > this.nowMs) {
			if (event.type !== 'tick') {
				controller.backlog.push(event);
			}

			return;
		}

		const events = [...controller.backlog, event];
		controller.backlog = [];
		for (const next of events) {
			this.#reduce(controller, next);
		}
	}

	#reduce(controller: Controller, event: FleetEvent): void {
		const reduce = this.#options.reduce ?? reduceFleet;
		const step = reduce(controller.state, event);
		controller.state = step.state;
		const {leaseTerm} = controller;
		for (const effect of step.effects) {
			this.#schedule(5 + this.#randomDelay(60), () => {
				this.#perform(controller, leaseTerm, effect);
			});
		}
	}

	/** Delivers a response, unless the lease term has changed since the call. */
	#respond(controller: Controller, leaseTerm: number, event: FleetEvent): void {
		if (controller.leaseTerm === leaseTerm) {
			this.#deliver(controller, event);
		}
	}

	#perform(controller: Controller, leaseTerm: number, effect: FleetEffect): void {
		const respond = (event: FleetEvent): void => {
			this.#respond(controller, leaseTerm, event);
		};

		switch (effect.type) {
			case 'commitHostChange': {
				this.#commit(controller, leaseTerm, effect);
				break;
			}

			case 'saveWave': {
				this.#saveWave(controller, leaseTerm, effect);
				break;
			}

			case 'loadWaves': {
				respond(this.#isTableDown() ? {type: 'callFailed', call: effect.call} : {type: 'wavesLoaded', call: effect.call, waves: [...this.rows.values()]});
				break;
			}

			case 'reboot': {
				this.#reboot(effect);
				respond(this.#isResponseLost()
					? {type: 'callFailed', call: effect.call}
					: {
						type: 'rebootAccepted', call: effect.call, nowMs: this.nowMs, rebootId: effect.rebootId,
					});
				break;
			}

			case 'probeHost': {
				respond({
					type: 'probeCompleted', call: effect.call, nowMs: this.nowMs, requestedAtMs: this.nowMs, host: effect.host, isHealthy: this.#isHealthy(effect.host),
				});
				break;
			}

			case 'queryGates': {
				this.#queryGates(respond, effect);
				break;
			}

			case 'log': {
				break;
			}
		}
	}

	#queryGates(respond: (event: FleetEvent) => void, effect: EffectOf<'queryGates'>): void {
		const respondingGates = this.#gates.filter(() => !this.#isResponseLost());
		const confirmations = respondingGates.flatMap(gate => effect.hosts.map(host => ({
			processId: gate.id,
			revision: gate.revision,
			host,
			inFlight: gate.requests.filter(request => request.host === host && request.endMs > this.nowMs).length,
		})));
		respond({
			type: 'gatesReported', call: effect.call, requestedAtMs: this.nowMs, processIds: this.#gates.map(({id}) => id), confirmations,
		});
	}

	#isTableDown(): boolean {
		return this.nowMs < this.tableDownUntilMs;
	}

	#commit(controller: Controller, leaseTerm: number, effect: EffectOf<'commitHostChange'>): void {
		if (this.#isTableDown()) {
			this.#respond(controller, leaseTerm, {type: 'changeRefused', calls: effect.calls});
			return;
		}

		if (leaseTerm !== this.#leaseTerm) {
			this.#respond(controller, leaseTerm, {type: 'leaseLost'});
			return;
		}

		if (this.#random.next() < (this.#options.raceShare ?? 0)) {
			this.#injectConflict(effect);
		}

		const entities = effect.edits.map(({path}) => path.split('/').slice(0, 3).join('/'));
		const isConflict = effect.isExclusive
			? this.settings.revision > effect.expectedRevision
			: entities.some(entity => (this.#changedAt.get(entity) ?? 0) > effect.expectedRevision);
		if (isConflict) {
			this.#respond(controller, leaseTerm, {type: 'changeRefused', calls: effect.calls});
			return;
		}

		const before = this.settings;
		this.edit(effect.edits);
		this.#checkChange(before, this.settings);
		const {revision} = this.settings;
		this.#schedule(this.#isResponseLost() ? 2000 : 5, () => {
			this.#respond(controller, leaseTerm, {type: 'changeCommitted', calls: effect.calls, revision});
		});
	}

	/** Commits an operator's change just before the controller's: drains another host of the pool, or briefly sets a host to serving that is about to be rebooted. */
	#injectConflict(effect: EffectOf<'commitHostChange'>): void {
		const name = effect.edits[0]!.path.split('/')[2]!;
		const host = this.settings.hosts.get(name);
		if (host?.state === 'serving') {
			const other = [...this.settings.hosts].find(([candidate, {pool, state}]) => pool === host.pool && state === 'serving' && candidate !== name);
			if (other !== undefined) {
				this.drainByOperator(other[0], 3000);
			}
		} else if (effect.edits[0]!.value === 'maintenance') {
			this.setHost(name, {state: 'serving'});
			this.#schedule(300, () => {
				this.setHost(name, {state: 'maintenance'});
			});
			this.#schedule(10_000, () => {
				this.#endMaintenance(name);
			});
		}
	}

	/** Ends an operator's maintenance of a host; while a wave works on the host, tries again later. */
	#endMaintenance(name: string): void {
		const isOfWave = [...this.rows.values()].some(({progress}) => progress.hosts[name] !== undefined || progress.failed[name] !== undefined);
		if (this.settings.hosts.get(name)!.state !== 'maintenance') {
			return;
		}

		if (isOfWave) {
			this.#schedule(5000, () => {
				this.#endMaintenance(name);
			});
		} else {
			this.setHost(name, {state: 'serving'});
		}
	}

	#saveWave(controller: Controller, leaseTerm: number, effect: EffectOf<'saveWave'>): void {
		const {call, progress, expectedVersion} = effect;
		const isCurrent = (this.rows.get(progress.wave)?.version ?? 0) === expectedVersion && leaseTerm === this.#leaseTerm;
		if (this.#isTableDown()) {
			this.#respond(controller, leaseTerm, {type: 'callFailed', call});
			return;
		}

		const isApplied = isCurrent && !this.#isResponseLost();
		if (isApplied) {
			this.#rowVersion++;
			this.rows.set(progress.wave, {progress: structuredClone(progress), version: this.#rowVersion});
		}

		this.#respond(controller, leaseTerm, isApplied && !this.#isResponseLost()
			? {
				type: 'waveSaved', call, progress, version: this.#rowVersion,
			}
			: {type: 'waveSaveUncertain', call});
	}

	#reboot({host, rebootId}: EffectOf<'reboot'>): void {
		const simulated = this.hosts.get(host)!;
		if (simulated.rebootIds.has(rebootId) || !simulated.isUp) {
			return;
		}

		simulated.rebootIds.add(rebootId);
		this.reboots.push(host);
		if (this.#inFlight(host) > 0) {
			this.violations.push(`reboot of ${host} aborted a request in flight`);
		}

		this.#takeDown(host);
		if (this.#options.isBroken?.(host) !== true) {
			this.#schedule(this.#options.rebootMs, () => {
				this.#bringUp(host);
			});
		}
	}

	/** Checks a controller's change: the budgets if a host starts to leave, that a host serves before it is uncordoned, and that a host is drained before its pool changes. */
	#checkChange(before: FleetSettings, after: FleetSettings): void {
		for (const [name, host] of after.hosts) {
			const earlier = before.hosts.get(name)!;
			if (earlier.state === 'serving' && host.state !== 'serving') {
				this.#checkBudgets(after, name, earlier.pool);
			}

			if (earlier.state === 'maintenance' && host.state === 'serving' && this.#isKnownDown(name)) {
				this.violations.push(`${name} was uncordoned before it served`);
			}

			if (earlier.pool !== host.pool && (earlier.state !== 'leaving' || this.#inFlight(name) > 0)) {
				this.violations.push(`move of ${name} out of ${earlier.pool} while it was not drained`);
			}
		}
	}

	/** Checks the budgets for the loss of each failure domain in turn. It is implemented independently of `BudgetTracker`. */
	#checkBudgets(settings: FleetSettings, leaving: string, pool: string): void {
		for (const [name, budget] of settings.budgets) {
			if (budget.pool !== pool) {
				continue;
			}

			const homes = [...settings.hosts.values()].filter(host => (host.homePool ?? host.pool) === pool).length;
			const needed = Math.max(budget.minServing, Math.ceil(budget.minServingShare * homes));
			const serving = [...settings.hosts].filter(([host, {pool: hostPool, state}]) => hostPool === pool && state === 'serving' && !this.#isKnownDown(host));
			const domains = new Set([...settings.hosts.values()].map(({dataCentre, rack}) => budget.domain === 'rack' ? `${dataCentre} ${rack}` : dataCentre));
			for (const domain of budget.domainLosses === 0 ? [''] : domains) {
				const left = serving.filter(([, {dataCentre, rack}]) => (budget.domain === 'rack' ? `${dataCentre} ${rack}` : dataCentre) !== domain).length;
				if (left < needed) {
					this.violations.push(`budget ${name} broken by draining ${leaving}: without ${domain} ${left} of ${needed} would serve`);
				}
			}
		}
	}

	#isHealthy(host: string): boolean {
		const simulated = this.hosts.get(host)!;
		return simulated.isUp && this.nowMs >= simulated.unhealthyUntilMs;
	}

	#isKnownDown(host: string): boolean {
		const {isUp, downSinceMs, unhealthySinceMs, unhealthyUntilMs} = this.hosts.get(host)!;
		const isKnownUnhealthy = this.nowMs < unhealthyUntilMs && this.nowMs - unhealthySinceMs > this.#detectionMs;
		return isKnownUnhealthy || (!isUp && this.nowMs - downSinceMs > this.#detectionMs);
	}
}
