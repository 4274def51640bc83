/**
Fenced leases: a lease names the one process that does a piece of control work. Every write that follows from a lease carries `HeldLease.fence` as a condition, so that the table service refuses the writes of a holder that has lost the lease without knowing it.
*/
import {type JsonValue} from '@poplarnotch/common';
import {type HeldLease} from '../types.js';

/** Receives a lease when it is acquired, and `undefined` when it is lost. */
export type LeaseListener = (lease: HeldLease | undefined) => void;

/** Contends for leases on behalf of one process. */
export interface Leases {
	/** Tries to acquire and hold the lease until it is withdrawn. */
	contend(name: string, listener: LeaseListener): void;
	/** Releases the lease, or stops contending for it. `handover` is left to whoever acquires the lease next. Resolves when it is released, or lost so that there is nothing to release. */
	withdraw(name: string, handover?: JsonValue): Promise<void>;
	/** The lease if this process holds it and, by its own clock, still trusts it. */
	heldLease(name: string): HeldLease | undefined;
}
