/* eslint camelcase: "off" -- the fields of messages are named by the platform's pages */
/**
While the machine interface is unavailable, an idle worker crashes and starts again under its id, and receives new tasks right after. The holder learns of the new life a moment later and takes these tasks for lost.
*/
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {findDoubleRuns, runCase} from '../support/deployment.js';

const folder = path.dirname(fileURLToPath(import.meta.url));

const workerCount = 30;
const downMs = 1000;

/** The machine interface is unavailable for this long before the crash and after the restart. */
const outageMarginMs = 500;

/** When the job of each round is handed in, after the moment at which the worker starts again. */
const offsetsMs = [-20, -10, 0, 10, -20, -10, 0, 10];

/** Time in which all tasks of a round end. */
const pauseMs = 4000;

await runCase(folder, async (deployment, hasTrouble) => {
	await deployment.start({capacity: {cpu: 8000, mem_mb: 16_384}, standby: ''});
	deployment.configure({
		pools: [{name: 'draws', admission_check: false}],
		tenants: [{
			name: 'one', api_keys: ['key-of-tenant-one'], weight: 1, cap: {cpu: 1_000_000, mem_mb: 0, gpu: 0},
		}],
		queue: {},
	});
	const {cloud, record} = deployment;
	for (let index = 0; index < workerCount; index++) {
		await cloud.addMachine(`m${10 + index}`, 'draws', {zone: ['north', 'east', 'south'][index % 3], rack: `r${index % 8}`});
		await sleep(50);
	}

	await deployment.startDaemons(3);
	const {holder} = deployment;
	record.add(`${holder.name} holds the lease`);
	const job = {
		spec: 'work=2000', phases: [{
			count: 8, cpu: 1000, mem_mb: 100, estimate_ms: 2000,
		}],
	};
	await deployment.submit(holder, '00000000000000d0', job);
	await sleep(1000);
	// The tasks of a job go to the same worker each time while all are idle.
	const target = cloud.workers.toSorted((a, b) => b.running.length - a.running.length)[0];
	await sleep(pauseMs);
	for (const [round, offsetMs] of offsetsMs.entries()) {
		cloud.isDown = hasTrouble;
		await sleep(outageMarginMs);
		const restarted = hasTrouble ? target.restart(downMs) : undefined;
		await sleep(downMs + offsetMs);
		await deployment.submit(holder, `00000000000000d${round + 1}`, job);
		await restarted;
		await sleep(outageMarginMs);
		cloud.isDown = false;
		await sleep(pauseMs);
	}

	return findDoubleRuns(cloud.workers);
});
