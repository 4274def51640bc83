/* eslint camelcase: "off" -- the fields of messages are named by the platform's pages */
/**
One answer of the machine interface is lost: a machine moves into the pool, its new worker starts tasks, and the order is then repeated and answered.
*/
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findDoubleRuns, runCase} from '../support/deployment.js';

const folder = path.dirname(fileURLToPath(import.meta.url));

/** Of the orders that arrive within this time of the first one, every second answer is lost. */
const lossMs = 1000;

await runCase(folder, async (deployment, hasTrouble) => {
	const {cloud, record} = {cloud: () => deployment.cloud, record: deployment.record};
	await deployment.start({capacity: {cpu: 8000, mem_mb: 16_384}, standby: 'spare'});
	deployment.configure({
		pools: [{name: 'draws', admission_check: false}, {name: 'spare', admission_check: false, standby: true}],
		tenants: [{
			name: 'one', api_keys: ['key-of-tenant-one'], weight: 1, cap: {cpu: 1_000_000, mem_mb: 0, gpu: 0},
		}],
		queue: {},
	});
	await cloud().addMachine('m1', 'draws', {zone: 'north', rack: 'r1'});
	await cloud().addMachine('m2', 'spare', {zone: 'east', rack: 'r2'});
	await cloud().addMachine('m3', 'spare', {zone: 'south', rack: 'r3'});
	await deployment.startDaemons(3);
	let firstOrderAtMs;
	let orders = 0;
	cloud().fateOf = ({path: orderPath}) => {
		if (!hasTrouble || orderPath !== '/machine-move') {
			return 'performed';
		}

		firstOrderAtMs ??= Date.now();
		// Every second order, from the first one on.
		return Date.now() - firstOrderAtMs < lossMs && orders++ % 2 === 0 ? 'performed-unanswered' : 'performed';
	};

	const [daemon] = deployment.daemons;
	await deployment.submit(daemon, '00000000000000a1', {
		spec: 'work=2000', phases: [{
			count: 8, cpu: 1000, mem_mb: 100, estimate_ms: 2000,
		}],
	});
	await deployment.submit(daemon, '00000000000000a2', {
		spec: 'work=8000', phases: [{
			count: 12, cpu: 1000, mem_mb: 100, estimate_ms: 8000,
		}],
	});
	await sleep(22_000);
	for (const job of ['00000000000000a1', '00000000000000a2']) {
		await deployment.state(daemon, job);
	}

	record.add(`${cloud().workers.length} workers ran`);
	return findDoubleRuns(cloud().workers);
});
