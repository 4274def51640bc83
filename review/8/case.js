/* eslint-disable camelcase -- Fields are named by the users' pages. */
/**
Case 8: all machines lose power, and that of the holder does not come back. The others answer the number of pending jobs from what it published before.
*/
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	bounds, isDisturbed, playCase, queue,
} from '../stand-ins-2/deployment.js';

const workers = 3;
const jobs = 40;

/** The tasks that fill the workers. */
const longMs = 60_000;

/** All machines are without power for this long. */
const darkMs = 6000;
const publishedMs = 4000;
const marginMs = 20;
const askEveryMs = 20;
const askForMs = 3000;

const started = new Set();

const jobOf = count => ({
	spec: 'job', phases: [{
		count, cpu: 16_000, mem_mb: 256, estimate_ms: longMs,
	}],
});

const play = async deployment => {
	const {record, daemons} = deployment;
	await deployment.submit('a8a8a8a8a8a8a8a8', jobOf(workers));
	await deployment.waitFor(() => started.size === workers, 5000);
	// The count of pending jobs, none, is published once a second.
	await sleep(publishedMs);
	const ids = Array.from({length: jobs}, (_value, index) => (0xB8_00_00_00_00_00_00_00n + BigInt(index)).toString(16));
	const answers = await Promise.all(ids.map(async (id, index) => deployment.call('POST', id, {body: jobOf(1), daemon: daemons[index % daemons.length]})));
	const accepted = answers.filter(({status}) => status === 200).length;
	const acceptedAtMs = performance.now();
	record(`${accepted} jobs are accepted`);
	if (accepted === 0) {
		throw new Error('no job was accepted');
	}

	const holder = daemons.find(({log}) => log.lastIndexOf('event=lease_won') > log.lastIndexOf('event=lease_lost'));
	if (holder === undefined) {
		throw new Error('no daemon holds the lease');
	}

	if (isDisturbed) {
		for (const daemon of daemons) {
			daemon.signal('SIGKILL');
		}

		await sleep(darkMs);
		for (const daemon of daemons.filter(other => other !== holder)) {
			daemon.spawn();
		}
	} else {
		await sleep(darkMs);
	}

	const remaining = daemons.filter(daemon => !isDisturbed || daemon !== holder);
	const inTouchAtMs = Math.max(...remaining.map(({startedAtMs}) => startedAtMs)) + bounds.contact_ms + marginMs;
	await sleep(Math.max(0, inTouchAtMs - performance.now()));
	const broken = [];
	const untilMs = performance.now() + askForMs;
	while (performance.now() < untilMs) {
		const askedAtMs = performance.now();
		const begun = [...started].filter(task => task.startsWith('b8')).length;
		await Promise.all(remaining.map(async daemon => {
			const {status, body} = await deployment.call('GET', '', {daemon});
			const isOwed = askedAtMs - acceptedAtMs > bounds.visible_ms + 2000;
			if (status === 200 && isOwed && body.pending < (accepted - begun) / 2) {
				broken.push(`MIXED: ${daemon.name}, running for ${Math.round(askedAtMs - daemon.startedAtMs)} ms, gives ${body.pending} jobs of ${queue.name} as pending; ${accepted - begun} were accepted ${Math.round(askedAtMs - acceptedAtMs)} ms before and have not begun`);
			}
		}));
		await sleep(askEveryMs);
	}

	return broken;
};

await playCase(import.meta.dirname, {
	daemons: 6,
	workers,
	durationOf: () => longMs,
	onStart(_worker, task) {
		started.add(task);
	},
	keepLogLines: line => /lease_won|process_started|following_started/v.test(line),
}, play);
