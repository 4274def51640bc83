import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {SeededRandom} from '@poplarnotch/common';
import {type PlatformFaults, PlatformStandIn} from '@poplarnotch/standin';
import {
	ConflictError, HttpTableService, PlatformConnection, RetryingTableService,
} from '@poplarnotch/platform';

const clients = 4;
const incrementsPerClient = 10;

let platform: PlatformStandIn;
let connections: PlatformConnection[];

beforeEach(async () => {
	platform = new PlatformStandIn({random: new SeededRandom(5)});
	const baseUrl = await platform.start();
	connections = Array.from({length: clients}, (_, index) => new PlatformConnection({baseUrl, clientName: `client-${index}`, timeoutMs: 200}));
});

afterEach(async () => {
	await Promise.all(connections.map(async connection => connection.close()));
	await platform.close();
});

/** Adds 1 to a shared counter; retries after each conflict. */
const increment = async (table: RetryingTableService): Promise<void> => {
	for (;;) {
		const [row] = await table.readRows(['counter']);
		try {
			await table.commit({
				conditions: [{key: 'counter', version: row?.version ?? 0}],
				writes: [{type: 'put', key: 'counter', value: Number(row?.value ?? 0) + 1}],
			});
			return;
		} catch (error) {
			if (!(error instanceof ConflictError)) {
				throw error;
			}
		}
	}
};

const incrementAll = async (): Promise<void> => {
	await Promise.all(connections.map(async (connection, index) => {
		const table = new RetryingTableService(new HttpTableService(connection), {
			client: `client-${index}`, retryTimeoutMs: 20_000, settleTimeoutMs: 20_000, backoff: {firstMs: 5, longestMs: 50},
		});
		for (let count = 0; count < incrementsPerClient; count++) {
			await increment(table);
		}
	}));
};

const temporaryFaults: ReadonlyArray<{readonly name: string; readonly fault: Partial<PlatformFaults>; readonly lastsMs: number}> = [
	{name: 'half of the answers lost', fault: {loseAnswerShare: 0.5}, lastsMs: 20_000},
	{name: 'few writes allowed', fault: {writesPerSecond: 40}, lastsMs: 20_000},
	{name: 'the platform down for 300 ms', fault: {down: true}, lastsMs: 300},
	{name: 'calls that take effect after their time limit', fault: {delayMs: 300}, lastsMs: 700},
	{name: 'one client cut off for 300 ms', fault: {cutClients: ['client-1']}, lastsMs: 300},
];

test.for(temporaryFaults)('every increment is applied exactly once with $name', async ({fault, lastsMs}) => {
	platform.setFaults(fault);
	const recoveryTimer = setTimeout(() => {
		platform.setFaults({
			loseAnswerShare: 0, writesPerSecond: 400, down: false, delayMs: 0, cutClients: [],
		});
	}, lastsMs);
	try {
		await incrementAll();
	} finally {
		clearTimeout(recoveryTimer);
	}

	expect(platform.table.valueOf('counter')).toBe(clients * incrementsPerClient);
});
