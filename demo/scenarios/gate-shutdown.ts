/**
A gate receives SIGTERM while it forwards requests. It completes all of them and exits with code 0.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {type Checks} from '../checks.js';
import {type Deployment} from '../deployment.js';
import {sendRequest} from '../traffic.js';

const requestCount = 20;

/** Time for the requests to reach the gate before it is stopped. Each runs for 500 ms, so none has ended by then. */
const requestArrivalMs = 150;

/** Runs the scenario on the last gate, which has stopped afterwards. */
export const runGateShutdown = async (deployment: Deployment, key: string, checks: Checks): Promise<void> => {
	const gate = deployment.gates.at(-1)!;
	const gateUrl = deployment.gateUrls.at(-1)!;
	const answers = Promise.all(Array.from({length: requestCount}, async () => sendRequest({
		gateUrl, queue: deployment.plan.waveQueue, path: '/?ms=500', key,
	})));
	await sleep(requestArrivalMs);
	const exitCode = await gate.stop();
	const received = await answers;
	const completed = received.filter(answer => answer.status === 200).length;
	checks.record('a stopping gate finishes its requests', completed === requestCount, `${completed} of ${requestCount} whole answers`);
	checks.record('a stopped gate exits with code 0', exitCode === 0, `exit code ${exitCode}`);
};
