/**
A gate receives SIGTERM while it forwards requests. It completes all of them and exits with code 0.
*/
import {type Checks} from '../checks.js';
import {type Deployment} from '../deployment.js';
import {sendRequest} from '../traffic.js';
import {waitUntil} from '../wait.js';

const requestCount = 20;

/** Run time of each request, longer than it takes for all of them to reach the gate on a busy machine. */
const requestMs = 1500;

/** The gate is stopped as soon as it has received all requests. A request that connects after the gate has closed its port is refused, which is correct and not what the scenario checks. */
const arrivalTimeoutMs = 10_000;

/** Runs the scenario on the last gate, which has stopped afterwards. */
export const runGateShutdown = async (deployment: Deployment, key: string, checks: Checks): Promise<void> => {
	const gate = deployment.gates.at(-1)!;
	const gateUrl = deployment.gateUrls.at(-1)!;
	const answers = Promise.all(Array.from({length: requestCount}, async () => sendRequest({
		gateUrl, queue: deployment.plan.waveQueue, path: `/?ms=${requestMs}`, key,
	})));
	let openCount = 0;
	const haveArrived = await waitUntil(async () => {
		openCount = await deployment.readGateGauge(deployment.plan.gateCount, 'exchanges_open');
		return openCount === requestCount;
	}, arrivalTimeoutMs);
	const exitCode = await gate.stop();
	const received = await answers;
	const completed = received.filter(answer => answer.status === 200).length;
	checks.record('a stopping gate has received all requests', haveArrived, `${openCount} of ${requestCount} open at SIGTERM`);
	checks.record('a stopping gate finishes its requests', completed === requestCount, `${completed} of ${requestCount} whole answers`);
	checks.record('a stopped gate exits with code 0', exitCode === 0, `exit code ${exitCode}`);
};
