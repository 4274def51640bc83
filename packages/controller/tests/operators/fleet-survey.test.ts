/**
The in-force report against processes that register while it is made.
*/
import {VirtualClock} from '@poplarnotch/common';
import {
	type Member, type RpcSettingsPeers, type SettingsReplica, type SettingsStateAnswer,
} from '@poplarnotch/state';
import {expect, test} from 'vitest';
import {FleetSurvey} from '../../src/operators/fleet-survey.js';

const memberOf = (processId: string, role: Member['role']): Member => ({
	processId, role, host: 'entry-1', dataCentre: 'dc-1', region: 'r-1', operationsUrl: 'http://127.0.0.1:1', incarnation: 1,
});

const answerOf = (processId: string, revision: number): SettingsStateAnswer => ({
	processId, revision, hasFloor: true, isFresh: true, confirmedAgeMs: 0, quorumAgeMs: undefined, changes: [],
});

test('a gate that registered a moment ago and serves the revision before holds a change back', async () => {
	const known = [memberOf('controller-1', 'controller'), memberOf('gate-1', 'gate')];
	const survey = new FleetSurvey({
		processId: 'controller-1',
		directory: {members: () => known},
		async refreshMembers() {
			known.push(memberOf('gate-3', 'gate'));
		},
		peers: {state: async (processId: string) => answerOf(processId, processId === 'gate-3' ? 4 : 5)} as unknown as RpcSettingsPeers,
		replica: {answer: () => answerOf('controller-1', 5)} as unknown as SettingsReplica,
		clock: new VirtualClock(),
	});
	const report = await survey.inForce(5);
	expect(report.isInForce).toBe(false);
	expect(report.processes.map(({processId, state}) => `${processId} ${state}`)).toEqual(['controller-1 in-force', 'gate-1 in-force', 'gate-3 behind']);
});
