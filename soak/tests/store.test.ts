/**
The stand-in of the store cuts answers anywhere, and a reader that goes on from `ver` misses nothing.
*/
import {expect, it} from 'vitest';
import {SeededRandom} from '@poplarnotch/common';
import {KeepAliveClients} from '../http.js';
import {type Row} from '../row-store.js';
import {Store} from '../store.js';

type FeedAnswer = {readonly rows: readonly Row[]; readonly ver: number};

it.each([0, 40])('a reader that goes on from `ver` gets every change, with answers cut after %i rows', async feedCut => {
	const store = new Store(new SeededRandom(7), feedCut);
	const address = await store.listen('127.0.0.1', 'd');
	const [ip = '', port] = address.split(':');
	const clients = new KeepAliveClients(ip, Number(port));
	for (let transaction = 0; transaction < 400; transaction++) {
		const upserts = Array.from({length: 1 + (transaction % 7)}, (_value, index) => ({table: `t${transaction % 2}`, key: `${transaction}-${index}`, value: 'AAAA'}));
		store.rows.apply(upserts, []);
	}

	const seen: Row[] = [];
	for (let ver = 0; ver < store.rows.ver;) {
		const {body} = await clients.call({method: 'GET', path: `/rows-feed?table=t1&after=${ver}`});
		const answer = body as FeedAnswer;
		seen.push(...answer.rows);
		expect(answer.ver).toBeGreaterThan(ver);
		({ver} = answer);
	}

	const expected = store.rows.range('t1', '', '', undefined);
	expect(seen.length).toBe(expected.length);
	expect(new Set(seen.map(({key}) => key)).size).toBe(expected.length);
	expect(store.cutAnswers).toBeGreaterThan(3);
	store.close();
	await clients.close();
});
