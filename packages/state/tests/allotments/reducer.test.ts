import {expect, test} from 'vitest';
import {reduceAllotments} from '../../src/allotments/reducer.js';
import {allotmentKey, sumKey} from '../../src/allotments/rows.js';
import {type AllotmentEffect, type AllotmentEvent, newAllotments} from '../../src/allotments/state.js';

const holder = 'gate-1@3';
const team = 'red';

/** A gate that holds all 12 of the limit. */
const startGate = () => {
	let state = newAllotments(holder);
	const send = (event: AllotmentEvent): readonly AllotmentEffect[] => {
		const step = reduceAllotments(state, event);
		state = step.state;
		return step.effects;
	};

	send({
		type: 'limitsChanged', nowMs: 0, limits: new Map([[team, 12]]), longestWorkMs: 3000,
	});
	send({
		type: 'demandChanged', nowMs: 0, team, running: 12, waiting: 0,
	});
	const effects = send({
		type: 'rowsChanged', nowMs: 0, sentAtMs: 0, changes: [
			{key: sumKey(team), value: {held: 12}, version: 5},
			{key: allotmentKey(team, holder), value: {amount: 12, wanted: 0}, version: 5},
		],
	});
	expect(effects).toEqual([{type: 'notify', team, amount: 12}]);
	return send;
};

const written = (effects: readonly AllotmentEffect[]) => effects.flatMap(effect => effect.type === 'commit' ? effect.transaction.writes : []);

test('the gate is notified of a lower amount before the row is written, and capacity for requests it started in the meantime is kept', () => {
	const send = startGate();
	send({
		type: 'demandChanged', nowMs: 100, team, running: 3, waiting: 0,
	});
	expect(send({type: 'releaseRequested', nowMs: 100})).toEqual([{type: 'notify', team, amount: 0}]);
	send({
		type: 'demandChanged', nowMs: 120, team, running: 4, waiting: 0,
	});
	expect(send({type: 'tick', nowMs: 200, random: 0.9})).toEqual([{type: 'readRows'}]);
	const effects = send({
		type: 'rowsChanged', nowMs: 210, sentAtMs: 200, changes: [],
	});
	expect(written(effects)).toEqual([
		{type: 'put', key: sumKey(team), value: {held: 4}},
		{
			type: 'put', key: allotmentKey(team, holder), value: {amount: 4, wanted: 0},
		},
	]);
});

test('after a return of unknown outcome the amount does not rise before another commit is applied', () => {
	const send = startGate();
	send({
		type: 'demandChanged', nowMs: 100, team, running: 0, waiting: 0,
	});
	for (const nowMs of [2000, 4000, 6000, 8000, 10_000, 11_900]) {
		send({type: 'tick', nowMs, random: 0.9});
	}

	expect(send({type: 'tick', nowMs: 12_100, random: 0.9})).toEqual([{type: 'readRows'}]);
	expect(written(send({
		type: 'rowsChanged', nowMs: 12_150, sentAtMs: 12_100, changes: [],
	}))[0]).toEqual({type: 'put', key: sumKey(team), value: {held: 0}});
	send({
		type: 'commitFailed', nowMs: 12_200, team, failure: 'unknown', random: 0.5,
	});
	send({
		type: 'rowsChanged', nowMs: 12_300, sentAtMs: 12_250, changes: [],
	});
	const waiting = send({
		type: 'demandChanged', nowMs: 12_600, team, running: 0, waiting: 12,
	});
	expect(waiting.map(effect => effect.type)).toEqual(['commit']);
	expect(waiting[0]).toMatchObject({transaction: {conditions: [{key: allotmentKey(team, holder), version: 5}]}});
	expect(send({
		type: 'committed', nowMs: 12_700, team, revision: 9,
	})).toEqual([{type: 'notify', team, amount: 12}]);
});
