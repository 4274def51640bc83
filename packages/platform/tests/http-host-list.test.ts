import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import fc from 'fast-check';
import {VirtualClock} from '@poplarnotch/common';
import {PlatformStandIn} from '@poplarnotch/standin';
import {HttpHostList, PlatformConnection} from '../src/index.js';

const hostNames = ['host-1', 'host-2', 'host-3', 'host-4'];

const changeArbitrary = fc.record({
	host: fc.constantFrom(...hostNames),
	state: fc.constantFrom('live', 'leaving', 'gone'),
	readAfter: fc.boolean(),
});

describe('HttpHostList', () => {
	const clock = new VirtualClock();
	let platform: PlatformStandIn;
	let connection: PlatformConnection;

	beforeEach(async () => {
		platform = new PlatformStandIn({clock});
		connection = new PlatformConnection({baseUrl: await platform.start(), clientName: 'test'});
	});

	afterEach(async () => {
		await connection.close();
		await platform.close();
	});

	it('shows the platform\'s list after any changes between reads, and the same array while nothing changes', async () => {
		const list = new HttpHostList(connection, clock);
		await fc.assert(fc.asyncProperty(fc.array(changeArbitrary, {maxLength: 12}), async changes => {
			for (const {host, state, readAfter} of changes) {
				if (state === 'gone') {
					platform.hosts.remove(host);
				} else {
					platform.hosts.put(host, state);
				}

				if (readAfter) {
					clock.advance(1000);
					await list.list();
				}
			}

			clock.advance(1000);
			const first = await list.list();
			clock.advance(1000);
			const second = await list.list();
			const byName = (hosts: ReadonlyArray<{readonly host: string}>): unknown =>
				hosts.toSorted((a, b) => a.host < b.host ? -1 : 1);
			expect(byName(first.hosts)).toEqual(byName(platform.hosts.current));
			expect(second.hosts).toBe(first.hosts);
		}), {seed: 1, numRuns: 40});
	});

	it('reads the whole list again when the platform no longer keeps the known version', async () => {
		const list = new HttpHostList(connection, clock);
		platform.hosts.put('host-1');
		await list.list();
		platform.hosts.remove('host-1');
		clock.advance(3_600_000);
		platform.hosts.put('host-2');
		clock.advance(3_600_000);
		platform.hosts.put('host-3');
		const listing = await list.list();
		expect(listing.hosts.map(host => host.host)).toEqual(['host-2', 'host-3']);
	});

	it('makes one call for concurrent readers, and adds the time in the cache to the age of a listing', async () => {
		const list = new HttpHostList(connection, clock);
		platform.hosts.put('host-1');
		const readsBefore = platform.counts.reads;
		const [first] = await Promise.all([list.list(), list.list()]);
		clock.advance(500);
		platform.hosts.put('host-2');
		const later = await list.list();
		expect(platform.counts.reads - readsBefore).toBe(1);
		expect(later).toEqual({hosts: first.hosts, ageMs: first.ageMs + 500});
		clock.advance(500);
		const newest = await list.list();
		expect(newest.hosts).toHaveLength(2);
	});

	it('makes a new call after a failure', async () => {
		const refused = new PlatformConnection({baseUrl: 'http://127.0.0.1:1', clientName: 'test'});
		const list = new HttpHostList(refused, clock);
		await expect(list.list()).rejects.toThrow();
		await expect(list.list()).rejects.toThrow();
		await refused.close();
	});
});
