/* eslint camelcase: "off" -- the fields of messages are named by the platform's pages */
/**
Answers of the store are lost, so that the holder of the scheduler's lease loses it, and the daemon that took over is restarted. The first holder acquires the lease again and holds it, but schedules nothing any more.
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

/** Time from the change of the holder to the stop of the new one, and until a process that has ended is started again. */
const gapMs = 1800;
const restartMs = 500;

/** A holder that cannot renew its lease is replaced within this time. */
const takeoverMs = 10_000;

const jobIntervalMs = 100;
const warmUpMs = 4000;

/** `finish_s`: this long after the end of the traffic, jobs are asked for. */
const finishMs = 14_000;

/** For this long, a job must not have nothing running while a task's turn has come and there is room. */
const idleBoundMs = 3000;

const tasksPerJob = 4;

await runCase(folder, async (deployment, hasTrouble) => {
	await deployment.start({capacity: {cpu: 32_000, mem_mb: 65_536}, standby: ''});
	deployment.configure({
		pools: [{name: 'draws', admission_check: false}],
		tenants: [{
			name: 'one', api_keys: ['key-of-tenant-one'], weight: 1, cap: {cpu: 1_000_000, mem_mb: 0, gpu: 0},
		}],
		queue: {},
	});
	const {cloud, record, store, daemons} = deployment;
	for (let index = 0; index < 6; index++) {
		await cloud.addMachine(`m${index + 1}`, 'draws', {zone: ['north', 'east', 'south'][index % 3], rack: `r${index % 3}`});
	}

	await deployment.startDaemons(daemonCount);
	const accepted = new Set();
	const handInJob = async job => {
		const jobId = job.toString(16).padStart(16, '0');
		const isAccepted = await deployment.submit(daemons[job % daemonCount], jobId, {
			spec: 'work=300', phases: [{
				count: tasksPerJob, cpu: 1000, mem_mb: 100, estimate_ms: 300,
			}],
		});
		if (isAccepted) {
			accepted.add(jobId);
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

		const holder = () => daemons.find(({name}) => store.get('leases', 'scheduler', 'shared')?.holder.startsWith(`${name}@`));
		const restarts = [];
		while (holder() !== first) {
			const stopped = holder();
			record.add(`${stopped.name} has acquired the lease, version ${leaseVersion()}`);
			await sleep(gapMs);
			restarts.push(deployment.restart(stopped, restartMs));
			for (const untilMs = Date.now() + takeoverMs; holder() === stopped || holder() === undefined;) {
				if (Date.now() > untilMs) {
					throw new Error('the lease was not acquired after a stop');
				}

				await sleep(20);
			}
		}

		record.add(`${first.name} has acquired the lease again, version ${leaseVersion()}`);
		await Promise.all(restarts);
		record.add(`all daemons run again; ${lost} of ${writes} writes were lost, a share of ${(lost / writes).toFixed(3)}`);
	}

	await sleep(idleBoundMs);
	clearInterval(timer);
	record.add('the traffic ends');
	await sleep(finishMs);
	const runs = () => cloud.workers.flatMap(worker => worker.starts);
	const startsBefore = runs().length;
	let isIdle = true;
	for (let watchedMs = 0; watchedMs < idleBoundMs; watchedMs += 50) {
		await sleep(50);
		isIdle &&= cloud.workers.every(worker => worker.running.length === 0);
	}

	isIdle &&= runs().length === startsBefore;
	const doneByJob = new Map();
	for (const {task} of runs().filter(({how}) => how === 'done')) {
		const [jobId] = task.split('.');
		doneByJob.set(jobId, (doneByJob.get(jobId) ?? 0) + 1);
	}

	const unfinished = [...accepted].filter(jobId => (doneByJob.get(jobId) ?? 0) < tasksPerJob);
	for (const daemon of daemons) {
		await deployment.state(daemon, unfinished[0] ?? [...accepted].at(-1));
	}

	record.add(`${accepted.size} jobs were accepted, ${unfinished.length} are not finished; ${store.get('leases', 'scheduler', 'shared')?.holder} holds the lease, version ${leaseVersion()}`);
	return unfinished.length > 0 && isIdle ? [`LOST: ${finishMs} ms after the end of the traffic, ${unfinished.length} accepted jobs are unfinished and have nothing running for ${idleBoundMs} ms, with all daemons up and all workers idle`] : [];
});
