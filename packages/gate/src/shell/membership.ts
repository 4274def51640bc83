/**
Registers this gate as a member and provides the other gates from the directory of members.
*/
import {randomUUID} from 'node:crypto';
import {
	type Clock, type Logger, parseWith, z,
} from '@poplarnotch/common';
import {type HostList, PlatformError, type TableService} from '@poplarnotch/platform';
import {
	type Member, MemberDirectory, MemberRegistration, type MembersSource, type PeerDirectory,
} from '@poplarnotch/state';
import * as E from 'fp-ts/lib/Either.js';
import {type GateDirectory} from './sources.js';

/** The fields of this gate's registration except the address of its operations port. */
export type GateIdentity = {
	readonly processId: string;
	readonly host: string;
	readonly dataCentre: string;
	readonly region: string;
};

export type MembershipParts = {
	readonly identity: GateIdentity;
	readonly table: TableService;
	readonly hostList: HostList;
	readonly clock: Clock;
	readonly log: Logger;
};

/** The row has no incarnation until the first heartbeat; until then its version is the incarnation. */
const incarnationSchema = z.looseObject({incarnation: z.number().optional()});

const membersPrefix = 'members/';

/** A gate's registration and its view of the other gates. */
export class Membership implements GateDirectory, PeerDirectory {
	readonly #parts: MembershipParts;
	readonly #directory: MemberDirectory;
	readonly #listeners: Array<() => void> = [];
	readonly #replacedListeners: Array<() => void> = [];
	#registration: MemberRegistration | undefined;
	#incarnation = 0;
	#isRestart = true;
	#gates: readonly string[];

	constructor(parts: MembershipParts) {
		const {
			identity, table, hostList, clock, log,
		} = parts;
		this.#parts = parts;
		this.#gates = [identity.processId];
		this.#directory = new MemberDirectory({
			table, hostList, clock, log,
		});
		this.#directory.onChange(() => {
			this.#updateGates();
		});
	}

	/** Sorted ids of the gates that are not known to be gone, including this one. A suspected gate may still serve requests. */
	get gates(): readonly string[] {
		return this.#gates;
	}

	/** `processId@incarnation` of this gate. */
	get holder(): string {
		return `${this.#parts.identity.processId}@${this.#incarnation}`;
	}

	/** The members with their status. */
	get source(): MembersSource {
		return this.#directory;
	}

	/** This gate's id and incarnation. */
	get self(): Pick<Member, 'processId' | 'incarnation'> {
		return {processId: this.#parts.identity.processId, incarnation: this.#incarnation};
	}

	/** Whether an earlier incarnation of this gate may have ended without removing its registration. */
	get isRestart(): boolean {
		return this.#isRestart;
	}

	onChange(listener: () => void): void {
		this.#listeners.push(listener);
	}

	/** Adds a listener that is called when another process has registered under this gate's id; this process must then stop. */
	onReplaced(listener: () => void): void {
		this.#replacedListeners.push(listener);
	}

	members(): readonly Member[] | undefined {
		return this.#directory.members();
	}

	/** Registers this gate, without a time limit. */
	async start(operationsUrl: string): Promise<void> {
		const {identity, table, clock, log} = this.#parts;
		this.#registration = new MemberRegistration({
			table,
			identity: {
				...identity, role: 'gate', operationsUrl, runId: randomUUID(),
			},
			clock,
			log,
		});
		this.#isRestart = await this.#mayBeRegistered();
		this.#registration.onReplaced(() => {
			for (const listener of this.#replacedListeners) {
				listener();
			}
		});
		const {incarnation} = await this.#registration.register();
		this.#incarnation = incarnation;
		this.#directory.start();
	}

	/** Removes the registration; resolves when the removal is confirmed. */
	async leave(): Promise<void> {
		this.#directory.close();
		await this.#registration?.leave();
	}

	/** Stops without removing the registration. */
	stop(): void {
		this.#directory.close();
		this.#registration?.close();
	}

	/** Returns true if the holder has removed its registration, if another incarnation has replaced it, or if its status is `gone`. */
	async isGone(holder: string): Promise<boolean> {
		const separator = holder.lastIndexOf('@');
		const processId = holder.slice(0, separator);
		const incarnation = Number(holder.slice(separator + 1));
		const [row] = await this.#parts.table.readRows([`${membersPrefix}${processId}`]);
		const parsed = parseWith(incarnationSchema, row?.value, processId);
		if (row === undefined || E.isLeft(parsed)) {
			return true;
		}

		const known = this.#directory.view()?.members.find(member => member.processId === processId);
		return (parsed.right.incarnation ?? row.version) !== incarnation
			|| (known?.incarnation === incarnation && known.status === 'gone');
	}

	async #mayBeRegistered(): Promise<boolean> {
		try {
			const rows = await this.#parts.table.readRows([`${membersPrefix}${this.#parts.identity.processId}`]);
			return rows.length > 0;
		} catch (error) {
			// While the table service cannot be read, a restart is the safe assumption.
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			return true;
		}
	}

	#updateGates(): void {
		const {processId} = this.#parts.identity;
		const others = (this.members() ?? []).filter(member => member.role === 'gate').map(member => member.processId);
		const next = [...new Set([...others, processId])].toSorted();
		if (next.join(' ') !== this.#gates.join(' ')) {
			this.#gates = next;
			for (const listener of this.#listeners) {
				listener();
			}
		}
	}
}
