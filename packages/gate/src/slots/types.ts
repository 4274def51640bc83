/**
State, events, effects and messages of the slot rebalancing.

A slot of a backend server is held by exactly one gate. Slots are only transferred: a gate gives up a free slot, and only then may the other gate use it. Every message may be lost, delayed or duplicated.

For each pool one gate is the allocator: it collects the demands of all gates and orders transfers. Its orders are advisory; a wrong or late order costs time but never lets two gates use the same slot. The allocator also allocates the slots that no gate holds (those of new hosts and those of removed gates), after a reconciliation round in which every gate commits to transfer none meanwhile.
*/
import {type FleetSettings} from '@poplarnotch/common';
import {type TeamLoad} from '../dispatch/fair-queue.js';

/** Demand by pool and team at this gate. */
export type PoolDemands = ReadonlyMap<string, ReadonlyMap<string, TeamLoad>>;

/** Counts by name, as they are sent in messages. */
export type Counts = Readonly<Record<string, number>>;

/** One gate's report on a pool to the pool's allocator. */
export type PoolReport = {
	readonly pool: string;
	/** Running and waiting requests, by team. */
	readonly demands: Counts;
	/** Slots held, by host. */
	readonly held: Counts;
	/** True if the gate accepts no new work and needs slots only for its present requests. */
	readonly isLeaving: boolean;
};

/** The slots of one host that a gate transfers as soon as they are free. An order that is received twice has no further effect. */
export type SlotOrder = {
	readonly host: string;
	/** Slots that the gate keeps. */
	readonly keep: number;
	/** Number of the other slots that each gate is to receive. */
	readonly to: Counts;
};

/** Messages between gates; the shell carries them as JSON. */
export type SlotMessage
	= | {readonly type: 'slotReport'; readonly pools: readonly PoolReport[]}
		| {readonly type: 'slotOrders'; readonly pool: string; readonly weights: Counts; readonly orders: readonly SlotOrder[]}
	/** Transfers slots; repeated until it is confirmed. `sequence` counts the transfers from this gate to the recipient. */
		| {readonly type: 'slotGive'; readonly sequence: number; readonly slots: Counts}
		| {readonly type: 'slotTaken'; readonly sequence: number}
	/** Requests a commitment to transfer no slot until the round is over. The gates must agree on the settings' revision and on `members`, the incarnations of all gates. */
		| {readonly type: 'slotCensus'; readonly round: number; readonly revision: number; readonly members: Counts}
	/** The commitment, with all slots that the gate holds, uses or is transferring. `incarnation` is that of the requesting gate. */
		| {readonly type: 'slotPromise'; readonly round: number; readonly incarnation: number; readonly held: Counts}
		| {readonly type: 'slotRoundOver'; readonly round: number};

/** Identity of a gate among its peers. A restarted gate has a higher incarnation. */
export type SlotPeer = {
	readonly gate: string;
	/** Revision of the table service at which the gate was registered. */
	readonly incarnation: number;
};

/** A host whose slots are allocated. */
export type SlotHost = {
	readonly host: string;
	readonly pool: string;
	readonly slots: number;
};

/** All events. The tick comes every `slotTickMs`. */
export type SlotEvent
	= | {
		readonly type: 'slotTick';
		readonly nowMs: number;
		readonly demands: PoolDemands;
		/** This gate's part of each team's upper limit; demand beyond it needs no slot here. */
		readonly allotmentByTeam: ReadonlyMap<string, number>;
		/** Slots in use by host, including those in their cancel grace period. */
		readonly runningByHost: ReadonlyMap<string, number>;
		/** Gates that do not respond now. They stay members, but no slots are allocated to them and they allocate none. */
		readonly silentGates?: ReadonlySet<string>;
	}
	| {readonly type: 'slotMessage'; readonly nowMs: number; readonly from: SlotPeer; readonly message: SlotMessage}
	/** All gates that are registered at `revision`. A gate is left out only when it has certainly stopped. */
	| {readonly type: 'slotMembers'; readonly nowMs: number; readonly revision: number; readonly members: readonly SlotPeer[]}
	| {readonly type: 'slotSettings'; readonly nowMs: number; readonly settings: FleetSettings}
	/** The gate stops: it transfers all its slots as they become free. */
	| {readonly type: 'slotDrain'; readonly nowMs: number};

/** The event that comes every `slotTickMs`. */
export type TickEvent = Extract<SlotEvent, {type: 'slotTick'}>;

/** All effects. Grants precede the messages that depend on them. */
export type SlotEffect
	= | {
		readonly type: 'setGrants';
		readonly slotsByHost: ReadonlyMap<string, number>;
		readonly weightsByPool: ReadonlyMap<string, ReadonlyMap<string, number>>;
	}
	| {readonly type: 'sendToGate'; readonly to: string; readonly message: SlotMessage};

/** Slots in transfer to another gate. */
export type OutgoingTransfer = {
	readonly sequence: number;
	readonly slots: Counts;
};

/** The report that was last sent for a pool. */
export type SentReport = {
	readonly atMs: number;
	readonly report: PoolReport;
	/** The allocator that received it; this gate if it allocates the pool itself. */
	readonly to: string;
	/** All slots of this gate at that time; the same map object until a slot moves. */
	readonly heldOnAll: ReadonlyMap<string, number>;
	/** Number of times that the report was repeated unchanged. */
	readonly repeats: number;
};

/** The orders that were last sent to a gate for a pool. */
export type SentOrders = {
	readonly atMs: number;
	readonly text: string;
	/** Number of times that the orders were repeated unchanged. */
	readonly repeats: number;
};

/** A reconciliation round that this gate has opened. */
export type ReconciliationRound = {
	readonly round: number;
	/** Slots held by each gate that has committed to the round. */
	readonly heldByGate: ReadonlyMap<string, Counts>;
};

/** This gate's commitment to another gate's reconciliation round. */
export type Commitment = {
	readonly to: SlotPeer;
	readonly round: number;
};

/** The state of the slot rebalancing at one gate. */
export type SlotState = {
	readonly self: SlotPeer;
	readonly settings: FleetSettings;
	readonly hosts: ReadonlyMap<string, SlotHost>;
	/** The same hosts by pool. */
	readonly hostsByPool: ReadonlyMap<string, readonly SlotHost[]>;
	/** Registered gates by name; this gate is among them once it is registered. */
	readonly members: ReadonlyMap<string, SlotPeer>;
	/** Revision of the latest list of members. */
	readonly membersRevision: number;
	/** Time at which a gate last left. */
	readonly memberLeftAtMs: number;
	readonly held: ReadonlyMap<string, number>;
	readonly runningByHost: ReadonlyMap<string, number>;
	readonly silentGates: ReadonlySet<string>;
	readonly outgoing: ReadonlyMap<string, OutgoingTransfer>;
	/** Sequence of the latest transfer to each gate. */
	readonly sentSequences: ReadonlyMap<string, number>;
	/** Sequence of the latest transfer from each gate, by name and incarnation. */
	readonly receivedSequences: ReadonlyMap<string, number>;
	readonly ordersByHost: ReadonlyMap<string, SlotOrder>;
	readonly weightsByPool: ReadonlyMap<string, ReadonlyMap<string, number>>;
	/** For allocators: the latest report of each gate, by pool. */
	readonly reportsByPool: ReadonlyMap<string, ReadonlyMap<string, PoolReport>>;
	/** The report that this gate last sent for each pool, and when. */
	readonly sentReports: ReadonlyMap<string, SentReport>;
	/** For allocators: the latest orders, by pool and gate. */
	readonly sentOrders: ReadonlyMap<string, SentOrders>;
	/** For allocators: the reports from which each pool was last rebalanced; the same map object until one changes. */
	readonly rebalancedReports: ReadonlyMap<string, ReadonlyMap<string, PoolReport>>;
	/** When this gate last rebalanced each pool. */
	readonly rebalancedAtMs: ReadonlyMap<string, number>;
	/** For allocators: since when slots of a host have been missing, by the reports of all gates. */
	readonly slotsMissingSinceMs: ReadonlyMap<string, number>;
	readonly openRound: ReconciliationRound | undefined;
	readonly lastRound: number;
	readonly commitment: Commitment | undefined;
	readonly isDraining: boolean;
};
