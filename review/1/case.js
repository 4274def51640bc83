/* eslint camelcase: "off" -- the fields of messages are named by the platform's pages */
/**
Answers of the store are lost, so that the holder of the scheduler's lease loses it, and the daemons that took over are restarted in turn. The first holder acquires the lease again and holds it, but schedules nothing any more.
*/
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../support/deployment.js';

const folder = path.dirname(fileURLToPath(import.meta.url));

const daemonCount = 3;

/** How long answers are lost, and when the writes without an answer are carried out. */
const lossMs = 4500;
const lateMs = 5000;

/** Pause between two stops of the restart in turn, and time until a process that has ended is started again. */
const gapMs = 1300;
const restartMs = 500;

/** A holder that cannot renew its lease is replaced within this time. */
const takeoverMs = 10_000;

const jobIntervalMs = 100;
const warmUpMs = 4000;

/** After the last restart, all daemons have been back for this long before it is judged. */
const calmMs = 20_000;

/** `finish_s`: jobs that were accepted this long ago must have begun. */
const finishMs = 14_000;

await runCase(folder, async (deployment, hasTrouble) => {
	await deployment.start({capacity: {cpu: 32_000, mem_mb: 65_536}, standby: ''});
	deployment.configure({
		pools: [{name: 'draws', admission_check: false}],
		tenants: [{
			name: 'one', api_keys: ['key-of-tenant-one'], weight: 1, cap: {cpu: 0, mem_mb: 0, gpu: 0},
		}],
		queue: {},
	});
	const {cloud, record, store, daemons} = deployment;
	for (let index = 0; index < 6; index++) {
		await cloud.addMachine(`m${index + 1}`, 'draws', {zone: ['north', 'east', 'south'][index % 3], rack: `r${index % 3}`});
	}

	await deployment.startDaemons(daemonCount);
	const accepted = new Map();
	const handInJob = async job => {
		const jobId = job.toString(16).padStart(16, '0');
		const isAccepted = await deployment.submit(daemons[job % daemonCount], jobId, {
			spec: 'work=300', phases: [{
				count: 4, cpu: 1000, mem_mb: 100, estimate_ms: 300,
			}],
		});
		if (isAccepted) {
			accepted.set(jobId, Date.now());
		}
	};

	let jobs = 0;
	const timer = setInterval(() => {
		handInJob(jobs++);
	}, jobIntervalMs);
	await sleep(warmUpMs);
	const first = deployment.holder;
	const leaseVersion = () => store.versionOf('leases', 'scheduler', 'shared');
	const firstVersion = leaseVersion();
	record.add(`${first.name} holds the lease, version ${firstVersion}`);
	if (hasTrouble) {
		const lossEndsAtMs = Date.now() + lossMs;
		let writes = 0;
		let lost = 0;
		store.lateMsOf = ({expect_rev: conditions = [], upserts = []}) => {
			if (Date.now() >= lossEndsAtMs) {
				return undefined;
			}

			writes++;
			// Of the writes under the holder's lease: its progress, and its renewals until another daemon has acquired the lease. They are few among all writes.
			const isUnderLease = conditions.some(({table, key, ver}) => table === 'leases' && key === 'scheduler' && ver === firstVersion);
			const isProgress = upserts.some(({table, key}) => table === 'jobs' && key.endsWith('/progress'));
			const isRenewal = upserts.some(({table}) => table === 'lease-renewals') && !upserts.some(({table}) => table === 'leases') && leaseVersion() === firstVersion;
			if (!isUnderLease || !(isProgress || isRenewal)) {
				return undefined;
			}

			lost++;
			return lateMs;
		};

		record.add('answers of the store begin to be lost');
		for (const untilMs = Date.now() + takeoverMs; leaseVersion() === firstVersion;) {
			if (Date.now() > untilMs) {
				throw new Error('the lease was not acquired by another daemon');
			}

			await sleep(20);
		}

		const second = daemons.find(({name}) => store.get('leases', 'scheduler', 'shared')?.holder.startsWith(`${name}@`));
		record.add(`${second.name} has acquired the lease, version ${leaseVersion()}`);
		const inTurn = [...daemons.filter(daemon => daemon !== first && daemon !== second), second];
		const restarts = [];
		for (const daemon of inTurn) {
			restarts.push(deployment.restart(daemon, restartMs));
			await sleep(gapMs);
		}

		await Promise.all(restarts);
		record.add(`all daemons run again; ${lost} of ${writes} writes were lost, a share of ${(lost / writes).toFixed(3)}`);
	}

	await sleep(calmMs);
	clearInterval(timer);
	const begun = new Set(cloud.workers.flatMap(worker => worker.starts).map(({task}) => task.split('.')[0]));
	const stuck = [...accepted].filter(([jobId, atMs]) => !begun.has(jobId) && Date.now() - atMs > finishMs);
	for (const daemon of daemons) {
		await deployment.state(daemon, stuck[0]?.[0] ?? [...accepted.keys()].at(-1));
	}

	record.add(`${accepted.size} jobs were accepted, ${begun.size} have begun; ${store.get('leases', 'scheduler', 'shared')?.holder} holds the lease, version ${leaseVersion()}`);
	return stuck.length === 0 ? [] : [`LOST: ${stuck.length} accepted jobs have had nothing running for over ${finishMs} ms, with all daemons up and all workers idle`];
});
