/**
Routing to backend servers: ejection of outliers, probing, and the retry budget.
*/
import {describe, expect, it} from 'vitest';
import {
	GateUnderTest, grantsOf, requestWith, serversOf, settingsWith, startsIn,
} from '../reducer/fixtures.js';

const servers = serversOf(4);
const gateWith = () => new GateUnderTest(settingsWith(), servers, grantsOf(servers, 50, 100));
const broken = 'draws-1';

/** Sends one request and completes it at once; hosts in `failing` answer with status 500. */
const completeOne = (gate: GateUnderTest, failing: readonly string[], random: number): string => {
	const request = requestWith();
	const {host} = startsIn(gate.arrive(request, random))[0]!;
	gate.send({
		type: 'attemptAnswered', requestId: request.requestId, attempt: 1, status: failing.includes(host) ? 500 : 200,
	});
	gate.send({type: 'attemptEnded', requestId: request.requestId, attempt: 1});
	return host;
};

const completeMany = (gate: GateUnderTest, failing: readonly string[], count: number): readonly string[] =>
	Array.from({length: count}, (_, index) => completeOne(gate, failing, (index * 0.618) % 1));

describe('a backend server that fails all requests', () => {
	it('receives no requests until probes succeed', () => {
		const gate = gateWith();
		completeMany(gate, [broken], 60);
		expect(completeMany(gate, [broken], 60)).not.toContain(broken);
		gate.advanceMs(6000);
		completeMany(gate, [broken], 20);
		expect(completeMany(gate, [broken], 20)).not.toContain(broken);
		gate.advanceMs(11_000);
		completeMany(gate, [], 40);
		expect(completeMany(gate, [], 40)).toContain(broken);
	});

	it('is not ejected if all others fail too', () => {
		const gate = gateWith();
		const all = servers.map(server => server.host);
		completeMany(gate, all, 100);
		const healthy = gate.state.servers.describe().filter(server => server.pool === 'draws' && server.health === 'healthy');
		expect(healthy.length).toBeGreaterThanOrEqual(3);
	});
});

describe('the retry budget', () => {
	it('limits the number of retries in an outage', () => {
		const gate = gateWith();
		let attempts = 0;
		for (let index = 0; index < 200; index++) {
			const request = requestWith();
			let starts = startsIn(gate.arrive(request, (index * 0.618) % 1));
			while (starts.length > 0) {
				attempts++;
				starts = startsIn(gate.send({
					type: 'attemptFailed', requestId: request.requestId, attempt: starts[0]!.attempt, stage: 'not-sent', reason: 'refused',
				}));
			}
		}

		expect(attempts).toBeLessThanOrEqual(200 + 10);
	});
});
