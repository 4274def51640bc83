/**
Tests the in-force report with a process that registers while the report is made.
*/
import {VirtualClock} from '@poplarnotch/common';
import {
	type Member, type RpcSettingsPeers, type SettingsReplica, type SettingsStateResponse,
} from '@poplarnotch/state';
import {expect, test} from 'vitest';
import {InForceReporter} from '../../src/operators/in-force-reporter.js';

const memberOf = (processId: string, role: Member['role']): Member => ({
	processId, role, host: 'entry-1', dataCentre: 'dc-1', region: 'r-1', operationsUrl: 'http://127.0.0.1:1', incarnation: 1,
});

const answerOf = (processId: string, revision: number): SettingsStateResponse => ({
	processId, revision, hasFloor: true, isFresh: true, confirmedAgeMs: 0, quorumAgeMs: undefined, changes: [],
});

test('a revision is not in force while a newly registered gate serves an older one', async () => {
	const known = [memberOf('controller-1', 'controller'), memberOf('gate-1', 'gate')];
	const reporter = new InForceReporter({
		processId: 'controller-1',
		directory: {members: () => known},
		async refreshMembers() {
			known.push(memberOf('gate-3', 'gate'));
		},
		peers: {state: async (processId: string) => answerOf(processId, processId === 'gate-3' ? 4 : 5)} as unknown as RpcSettingsPeers,
		replica: {answer: () => answerOf('controller-1', 5)} as unknown as SettingsReplica,
		clock: new VirtualClock(),
	});
	const report = await reporter.inForce(5);
	expect(report.isInForce).toBe(false);
	expect(report.processes.map(({processId, state}) => `${processId} ${state}`)).toEqual(['controller-1 in-force', 'gate-1 in-force', 'gate-3 behind']);
});
