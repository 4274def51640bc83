/**
Keeps the directory of members up to date: reads the members' changes and the host list at fixed intervals.
*/
import {
	assertNever, type CancelTimer, type Clock, type Logger, ReducerRuntime, silentLogger, SystemClock,
} from '@poplarnotch/common';
import {type HostList, PlatformError, type TableService} from '@poplarnotch/platform';
import {type Member} from '../types.js';
import {hostListPollMs, membersPollMs} from './constants.js';
import {
	type DirectoryEffect, type DirectoryEvent, type DirectoryState, emptyDirectory, reduceDirectory, viewOf,
} from './directory-reducer.js';
import {heartbeatKey, memberKey, membersPrefix} from './rows.js';
import {type MembersListener, type MembersSource, type MembersView} from './types.js';

export type MemberDirectoryOptions = {
	readonly table: TableService;
	readonly hostList: HostList;
	readonly clock?: Clock;
	readonly log?: Logger;
};

/** The members of the fleet as this process sees them. */
export class MemberDirectory implements MembersSource {
	readonly #table: TableService;
	readonly #hostList: HostList;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #listeners: MembersListener[] = [];
	readonly #timers = new Map<string, CancelTimer>();
	readonly #failingSources = new Set<string>();
	readonly #runtime: ReducerRuntime<DirectoryState, DirectoryEvent, DirectoryEffect>;
	#isClosed = false;

	constructor(options: MemberDirectoryOptions) {
		this.#table = options.table;
		this.#hostList = options.hostList;
		this.#clock = options.clock ?? new SystemClock();
		this.#log = options.log ?? silentLogger;
		this.#runtime = new ReducerRuntime(emptyDirectory, reduceDirectory, effect => {
			this.#perform(effect);
		});
	}

	/** Starts to read at fixed intervals. */
	start(): void {
		this.#repeat('members', membersPollMs, async () => this.#readChanges());
		this.#repeat('hosts', hostListPollMs, async () => this.#readHosts());
	}

	close(): void {
		this.#isClosed = true;
		for (const cancel of this.#timers.values()) {
			cancel();
		}
	}

	view(): MembersView | undefined {
		return viewOf(this.#runtime.state);
	}

	/** Members that are not known to be gone; `undefined` until the members were read once. */
	members(): readonly Member[] | undefined {
		return this.view()?.members.filter(member => member.status !== 'gone');
	}

	/** Reads the members now: every process that registered before the call is known after it, unless the table service cannot be reached. */
	async refresh(): Promise<void> {
		await this.#attempt('members', async () => this.#readChanges());
	}

	onChange(listener: MembersListener): void {
		this.#listeners.push(listener);
	}

	#repeat(name: string, intervalMs: number, perform: () => Promise<void>): void {
		const run = async (): Promise<void> => {
			await this.#attempt(name, perform);
			if (!this.#isClosed) {
				this.#timers.set(name, this.#clock.schedule(intervalMs, () => {
					void run();
				}));
			}
		};

		void run();
	}

	async #attempt(name: string, perform: () => Promise<void>): Promise<void> {
		try {
			await perform();
			if (this.#failingSources.delete(name)) {
				this.#log.info({event: 'directory_read_again', source: name});
			}
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			if (!this.#failingSources.has(name)) {
				this.#failingSources.add(name);
				this.#log.warn({
					event: 'directory_read_failed', source: name, code: error.code, reason: error.message,
				});
			}

			this.#dispatch({type: 'tick', nowMs: this.#clock.nowMs()});
		}
	}

	async #readChanges(): Promise<void> {
		let hasMore = true;
		while (hasMore && !this.#isClosed) {
			const page = await this.#table.changesSince(membersPrefix, this.#runtime.state.revision ?? 0);
			this.#dispatch({
				type: 'rowsChanged', nowMs: this.#clock.nowMs(), changes: page.changes, revision: page.revision,
			});
			hasMore = page.hasMore;
		}
	}

	async #readHosts(): Promise<void> {
		const sentAtMs = this.#clock.nowMs();
		const listing = await this.#hostList.list();
		this.#dispatch({
			type: 'listed', nowMs: this.#clock.nowMs(), sentAtMs, listing,
		});
	}

	#dispatch(event: DirectoryEvent): void {
		if (!this.#isClosed) {
			this.#runtime.dispatch(event);
		}
	}

	#perform(effect: DirectoryEffect): void {
		switch (effect.type) {
			case 'notify': {
				for (const listener of this.#listeners) {
					listener(effect.view);
				}

				break;
			}

			case 'forget': {
				void this.#forget(effect.processId, effect.incarnation);
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	async #forget(processId: string, incarnation: number): Promise<void> {
		const key = memberKey(processId);
		try {
			await this.#table.commit({
				conditions: [{key, version: incarnation}],
				writes: [{type: 'delete', key}, {type: 'delete', key: heartbeatKey(processId)}],
			});
			this.#log.info({event: 'member_forgotten', processId});
		} catch (error) {
			if (!(error instanceof PlatformError)) {
				throw error;
			}

			this.#dispatch({type: 'forgetFailed', processId});
		}
	}
}
