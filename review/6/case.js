/* eslint-disable camelcase -- Fields are named by the users' pages. */
/**
Case 6: two tasks of one job that lasts get no answer to their first start and to its stop, and are never started again.
*/
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, isDisturbed, playCase} from '../stand-ins-2/deployment.js';

const lastingJob = 'a6a6a6a6a6a6a6a6';
const ordinaryJob = 'b6b6b6b6b6b6b6b6';

/** An order without an answer is carried out 2 to 12 s later. */
const lateStartMs = 8000;
const lateStopMs = 3000;

/** Time after the last late order: the 4 s before the 3 s have to be calm; the rest is to the daemons' advantage. */
const calmMs = 4000;
const idleMs = 3000;
const spareMs = 10_000;

/** Tasks that start beside the two and get their answers, so that the share of orders without an answer stays below that of the site. */
const ordinaryTasks = 80;

const orders = {all: 0, disturbed: 0, lastLateAtMs: 0};
const disturbed = new Set();

const disturb = (_worker, path, {task = '', attempt = 0}) => {
	if (path === '/hold') {
		return undefined;
	}

	orders.all++;
	const name = `${path} ${task}`;
	if (!isDisturbed || !task.startsWith(lastingJob) || disturbed.has(name)) {
		return undefined;
	}

	disturbed.add(name);
	orders.disturbed++;
	const lateMs = path === '/run-start' ? lateStartMs : lateStopMs;
	orders.lastLateAtMs = Math.max(orders.lastLateAtMs, performance.now() + lateMs);
	return {lateMs, attempt};
};

const play = async deployment => {
	const {record} = deployment;
	const isLastingAccepted = await deployment.submit(lastingJob, {
		spec: 'lasting', phases: [{
			count: 2, cpu: 500, mem_mb: 256, estimate_ms: 900, persistent: true,
		}],
	});
	const isOrdinaryAccepted = await deployment.submit(ordinaryJob, {
		spec: 'ordinary', phases: [{
			count: ordinaryTasks, cpu: 500, mem_mb: 256, estimate_ms: 500,
		}],
	});
	if (!isLastingAccepted || !isOrdinaryAccepted) {
		throw new Error('the jobs were not accepted');
	}

	const tasks = [0, 1].map(index => `${lastingJob}.0.0.${index}`);
	const runningTasks = () => tasks.filter(task => deployment.workersOf(task).length > 0);
	const trafficEndsAtMs = performance.now();
	// The orders without an answer come within the first seconds; the last of them is carried out lateStartMs later.
	await sleep(lateStartMs);
	await sleep(Math.max(0, orders.lastLateAtMs - performance.now()) + calmMs);
	await sleep(Math.max(0, trafficEndsAtMs + (bounds.finish_s * 1000) - performance.now()));
	record(`calm since more than ${calmMs} ms; ${orders.disturbed} of ${orders.all} orders got no answer`);
	const idleSinceMs = performance.now();
	let longestIdleMs = 0;
	while (performance.now() - idleSinceMs < idleMs + spareMs && runningTasks().length < tasks.length) {
		longestIdleMs = runningTasks().length === 0 ? performance.now() - idleSinceMs : longestIdleMs;
		await sleep(10);
	}

	const {status, body} = await deployment.call('GET', lastingJob);
	record(`running: ${runningTasks().join(', ') || 'none'}; nothing ran for ${Math.round(longestIdleMs)} ms in the calm`);
	record(`GET ${status} ${JSON.stringify(body)}; workers that are up: ${deployment.workers.filter(({isUp}) => isUp).length}`);
	return longestIdleMs > idleMs
		? [`LOST: ${lastingJob} is accepted and not cancelled, and had nothing running for ${Math.round(longestIdleMs)} ms, with all workers up and nearly empty`]
		: [];
};

await playCase(import.meta.dirname, {
	daemons: 3, workers: 6, durationOf: task => task.startsWith(lastingJob) ? Number.POSITIVE_INFINITY : 500, disturb, keepLogLines: line => line.includes(lastingJob),
}, play);
