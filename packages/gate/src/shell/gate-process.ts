/**
Assembles a gate from the callers' port, the operations port, the registration, the settings, the claims and the connections to backend servers, and controls its start, its graceful shutdown and its immediate stop.
*/
import {
	type CancelTimer, type JsonObject, LifecycleManager, OperationsServer,
} from '@poplarnotch/common';
import {ClaimStore} from '../claims/claim-store.js';
import {ClaimSweeper} from '../claims/claim-sweeper.js';
import {CommitBatcher} from '../claims/commit-batcher.js';
import {RowReader} from '../claims/row-reader.js';
import {withTimeout} from '../claims/with-timeout.js';
import {describeGateState, type GateState} from '../state.js';
import {CallerServer} from './caller-server.js';
import {type DrainResult, type GatePorts, type GateProcessParts} from './gate-parts.js';
import {GateShell} from './gate-shell.js';
import {HostListWatcher} from './host-list-watcher.js';
import {type Membership} from './membership.js';
import {ServerPools} from './server-pools.js';
import {SharedGrants} from './shared-grants.js';

const tickIntervalMs = 20;
const leaveTimeoutMs = 2000;
const requestIdRadix = 36;

/** Fraction of the drain timeout after which new requests on open connections are refused. */
const refuseAfterDrainFraction = 0.5;

/** The components of a gate and their lifecycle. */
export class GateProcess {
	readonly #parts: GateProcessParts;
	readonly #lifecycle: LifecycleManager;
	readonly #pools: ServerPools;
	readonly #batcher: CommitBatcher;
	readonly #operations: OperationsServer;
	readonly #callers: CallerServer;
	readonly #claims: ClaimStore;
	readonly #sweeper: ClaimSweeper;
	readonly #shell: GateShell;
	readonly #hostListWatcher: HostListWatcher;
	#isDraining = false;
	#drained: Promise<DrainResult> | undefined;
	#isStopped = false;
	#requestCount = 0;
	#requestIdPrefix = '';
	#grants: SharedGrants | undefined;
	#cancelTick: CancelTimer | undefined;

	constructor(parts: GateProcessParts) {
		const {settings, table, clock, random, metrics, log, membership} = parts;
		this.#parts = parts;
		this.#lifecycle = new LifecycleManager(clock);
		this.#pools = new ServerPools(settings.servers);
		this.#batcher = new CommitBatcher(table, clock, settings.claims);
		this.#claims = new ClaimStore({
			holder: () => membership.holder,
			batcher: this.#batcher,
			reader: new RowReader(table, clock, settings.claims.callTimeoutMs),
			holders: membership,
			clock,
			settleTimeoutMs: settings.claims.settleTimeoutMs,
			log,
			metrics,
		});
		this.#sweeper = new ClaimSweeper({
			table, batcher: this.#batcher, clock, random, log, metrics, settings: settings.claims, isGone: async holder => membership.isGone(holder),
		});
		this.#shell = new GateShell({
			limits: {...settings.limits, recordedBodyBytes: settings.claims.recordedBodyBytes},
			claims: this.#claims,
			pools: this.#pools,
			source: parts.source,
			clock,
			random,
			metrics,
			log,
			nextRequestId: () => this.#nextRequestId(),
			onStall: () => {
				this.#grants?.applyGrants();
			},
		});
		this.#callers = new CallerServer({...settings.limits, keepAliveTimeoutMs: settings.listen.keepAliveTimeoutMs}, {
			onRequest: (request, response) => {
				this.#shell.exchanges.accept(request, response);
			},
			onBodyFailed: (request, problem) => {
				this.#shell.exchanges.failBody(request, problem);
			},
			onParseError(status, code) {
				metrics.increment('requests_unparsable_total');
				log.info({event: 'request_unparsable', status, code});
			},
			nextRequestId: () => this.#nextRequestId(),
		});
		this.#operations = new OperationsServer({
			metrics,
			isReady: () => this.isReady,
			dump: () => this.dump(),
		}, parts.routes);
		this.#hostListWatcher = new HostListWatcher({
			hostList: parts.hostList,
			clock,
			log,
			pollIntervalMs: settings.servers.hostListPollMs,
			onListing: listed => {
				this.#shell.changeListing(listed);
			},
		});
		this.#defineGauges();
	}

	/** The reducer's state. Readers must not change it. */
	get state(): GateState {
		return this.#shell.state;
	}

	/** Whether a graceful shutdown has begun. */
	get isDraining(): boolean {
		return this.#isDraining;
	}

	/** Whether the load balancer may send requests to this gate. */
	get isReady(): boolean {
		return this.#grants?.isReady === true && this.#parts.source.isReady && !this.#isDraining;
	}

	/** Handles a call of `slots.deliver`. Calls before the registration have no effect. */
	receiveSlots(parameters: unknown): JsonObject {
		return this.#grants?.receiveSlots(parameters) ?? {};
	}

	/** Adds a listener that is called when another process has registered under this gate's id; this process must then stop. */
	onReplaced(listener: () => void): void {
		this.#parts.membership.onReplaced(listener);
	}

	/** Starts all components; resolves when the gate is registered and listens. */
	async start(): Promise<GatePorts> {
		const {settings, membership, source, log} = this.#parts;
		const {host, port, operationsPort} = settings.listen;
		this.#lifecycle.own('connections to the platform', async () => this.#parts.closeClients());
		const chosenOperationsPort = await this.#operations.listen(host, operationsPort);
		this.#lifecycle.own('operations port', async () => this.#operations.close());
		await this.#register(`http://${host}:${chosenOperationsPort}`);
		this.#lifecycle.own('connections to backend servers', async () => this.#pools.destroy());
		this.#followSettings(this.#startGrants());
		this.#lifecycle.own('settings', () => {
			source.stop();
		});
		await this.#hostListWatcher.start();
		this.#lifecycle.own('claims', () => {
			this.#batcher.stop();
		});
		this.#lifecycle.own('timers', () => {
			this.#stopTimers();
		});
		this.#tick();
		this.#sweeper.start();
		const chosenPort = await this.#callers.listen(host, port);
		this.#lifecycle.own('callers\' port', () => {
			this.#callers.destroy();
		});
		log.info({
			event: 'gate_started', holder: membership.holder, port: chosenPort, operationsPort: chosenOperationsPort,
		});
		return {port: chosenPort, operationsPort: chosenOperationsPort};
	}

	/** Stops without aborting a request: accepts no new connection, completes the open requests and releases slots and allotments. */
	async drain(): Promise<DrainResult> {
		this.#drained ??= this.#drain();
		return this.#drained;
	}

	/** Stops at once like a crash: requests are not completed, and slots and allotments are not released. */
	async kill(): Promise<void> {
		this.#parts.membership.stop();
		await this.#release();
	}

	/** The complete state without secrets, as `/dump` shows it. */
	dump(): JsonObject {
		const {membership, source, settings} = this.#parts;
		return {
			process: {...settings.process, holder: membership.holder},
			isReady: this.isReady,
			isDraining: this.#isDraining,
			exchanges: this.#shell.exchanges.size,
			heldBodiesBytes: this.#shell.exchanges.heldBytes,
			claims: {held: this.#claims.heldCount, isTableDown: this.#batcher.isDown, ...this.#batcher.counts},
			gates: membership.gates,
			slots: this.#grants?.dump() ?? {},
			settings: source.dump(),
			state: describeGateState(this.#shell.state),
		};
	}

	async #drain(): Promise<DrainResult> {
		const {clock, settings, log, membership} = this.#parts;
		const startedMs = clock.nowMs();
		this.#isDraining = true;
		log.info({event: 'drain_started', exchanges: this.#shell.exchanges.size});
		this.#grants?.startDrain();
		this.#callers.startClosingConnections();
		for (const exchange of this.#shell.exchanges.values()) {
			exchange.closeAfterAnswer();
		}

		let cancelTimeout: CancelTimer | undefined;
		const timedOut = new Promise<boolean>(resolve => {
			cancelTimeout = clock.schedule(settings.drain.timeoutMs, () => {
				resolve(false);
			});
		});
		const isWhole = await Promise.race([this.#finishWork().then(() => true), timedOut]);
		cancelTimeout?.();
		await this.#leave(membership);
		await this.#release();
		log.info({event: 'drain_ended', isWhole, durationMs: Math.round(clock.nowMs() - startedMs)});
		return {isWhole};
	}

	async #finishWork(): Promise<void> {
		const {clock, settings} = this.#parts;
		await new Promise<void>(resolve => {
			clock.schedule(settings.drain.lameDuckMs, resolve);
		});
		const cancelRefusals = clock.schedule(settings.drain.timeoutMs * refuseAfterDrainFraction, () => {
			this.#shell.startDrain();
		});
		await this.#callers.stop();
		cancelRefusals();
		await this.#shell.exchanges.waitUntilEmpty();
		await this.#claims.flush();
		await this.#grants?.releaseAll();
	}

	async #leave(membership: Membership): Promise<void> {
		try {
			await withTimeout(this.#parts.clock, leaveTimeoutMs, membership.leave());
		} catch (error) {
			this.#parts.log.warn({event: 'leave_failed', reason: (error as Error).message});
		}
	}

	async #release(): Promise<void> {
		this.#isStopped = true;
		const failures = await this.#lifecycle.releaseAll();
		for (const {name, error} of failures) {
			this.#parts.log.warn({event: 'release_failed', resource: name, reason: (error as Error).message});
		}
	}

	#stopTimers(): void {
		this.#cancelTick?.();
		this.#sweeper.stop();
		this.#hostListWatcher.stop();
	}

	async #register(operationsUrl: string): Promise<void> {
		const {membership} = this.#parts;
		this.#lifecycle.own('registration', () => {
			membership.stop();
		});
		await membership.start(operationsUrl);
		this.#requestIdPrefix = `${membership.holder.replace('@', '-')}-`;
	}

	#startGrants(): SharedGrants {
		const grants = new SharedGrants({...this.#parts, shell: this.#shell, pools: this.#pools});
		this.#grants = grants;
		this.#lifecycle.own('slots and allotments', () => {
			grants.close();
		});
		grants.start();
		return grants;
	}

	#followSettings(grants: SharedGrants): void {
		const {source} = this.#parts;
		source.onChange(settings => {
			grants.applySettings(settings);
		});
		source.onFreshness(isFresh => {
			this.#shell.changeFreshness(isFresh);
		});
		source.start();
		this.#shell.changeFreshness(source.isFresh);
		grants.applySettings(source.current);
	}

	#tick(): void {
		this.#cancelTick = this.#parts.clock.schedule(tickIntervalMs, () => {
			if (!this.#isStopped) {
				this.#shell.tick();
				this.#grants?.reportDemands();
				this.#tick();
			}
		});
	}

	#nextRequestId(): string {
		this.#requestCount++;
		return `${this.#requestIdPrefix}${this.#requestCount.toString(requestIdRadix)}`;
	}

	#defineGauges(): void {
		const {metrics} = this.#parts;
		metrics.gauge('exchanges_open', () => this.#shell.exchanges.size);
		metrics.gauge('held_bodies_bytes', () => this.#shell.exchanges.heldBytes);
		metrics.gauge('claims_held', () => this.#claims.heldCount);
		metrics.gauge('claim_row_changes_total', () => this.#batcher.counts.changes);
		metrics.gauge('claim_transactions_total', () => this.#batcher.counts.transactions);
		metrics.gauge('table_service_down', () => this.#batcher.isDown ? 1 : 0);
	}
}

