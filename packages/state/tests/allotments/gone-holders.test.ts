import {expect, test} from 'vitest';
import {mayReclaim, trackGoneHolders} from '../../src/allotments/gone-holders.js';
import {reduceAllotments} from '../../src/allotments/reducer.js';
import {allotmentKey} from '../../src/allotments/rows.js';
import {newAllotments} from '../../src/allotments/state.js';
import {type KnownMember, type MembersView} from '@poplarnotch/state';

const longestWorkMs = 3000;

/** Whether the allotment of `gate-2@7` may be reclaimed an hour after the view was first seen. */
const isReclaimable = (view: MembersView): boolean => {
	const limited = reduceAllotments(newAllotments('gate-1@3'), {
		type: 'limitsChanged', nowMs: 0, limits: new Map([['red', 12]]), longestWorkMs,
	}).state;
	const held = reduceAllotments(limited, {
		type: 'rowsChanged', nowMs: 0, sentAtMs: 0, changes: [{key: allotmentKey('red', 'gate-2@7'), value: {amount: 5, wanted: 0}, version: 9}],
	}).state;
	return mayReclaim(trackGoneHolders({...held, members: view}, 0), 'gate-2@7', 3_600_000);
};

const gate = (incarnation: number, status: KnownMember['status']): KnownMember => ({
	processId: 'gate-2', incarnation, role: 'gate', host: 'host-2', dataCentre: 'dc-1', region: 'region-1', operationsUrl: 'http://127.0.0.1:1', status,
});

test('only allotments of holders that are known to be gone may be reclaimed', () => {
	const view = {revision: 20, members: [], unreadable: []};
	expect(isReclaimable({...view, members: [gate(7, 'gone')]})).toBe(true);
	expect(isReclaimable({...view, members: [gate(8, 'live')]})).toBe(true);
	expect(isReclaimable(view)).toBe(true);
	expect(isReclaimable({...view, members: [gate(7, 'suspected')]})).toBe(false);
	expect(isReclaimable({...view, members: [gate(7, 'live')]})).toBe(false);
	expect(isReclaimable({...view, revision: 6})).toBe(false);
	expect(isReclaimable({...view, unreadable: ['gate-2']})).toBe(false);
});
