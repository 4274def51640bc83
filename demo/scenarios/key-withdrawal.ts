/**
A key is withdrawn while its team sends requests. Every gate rejects the key within the guaranteed time.
*/
import {type Checks} from '../checks.js';
import {type Deployment} from '../deployment.js';
import {sendRequest} from '../traffic.js';
import {waitUntil} from '../wait.js';

/** Guaranteed time within which every gate rejects a withdrawn key. */
const withdrawalBoundMs = 2000;

const keyIdOf = (key: string): string => key.split('_')[1]!;

/** Runs the scenario. The key is no longer valid afterwards. */
export const runKeyWithdrawal = async (deployment: Deployment, key: string, checks: Checks): Promise<void> => {
	const statusAt = async (gateUrl: string): Promise<number> => {
		const answer = await sendRequest({
			gateUrl, queue: deployment.plan.queue, path: '/', key,
		});
		return answer.status;
	};

	const before = await Promise.all(deployment.gateUrls.map(statusAt));
	checks.record('the key works at every gate', before.every(status => status === 200), `statuses ${before.join(', ')}`);

	const result = await deployment.runCommand('key', 'withdraw', keyIdOf(key), '--reason', 'demo', '--no-wait');
	const acceptedMs = performance.now();
	const isRefused = await waitUntil(async () => {
		const statuses = await Promise.all(deployment.gateUrls.map(statusAt));
		return statuses.every(status => status === 401);
	}, withdrawalBoundMs);
	const elapsedMs = Math.round(performance.now() - acceptedMs);
	checks.record('a withdrawn key stops at every gate within 2 s', result.exitCode === 0 && isRefused, `${elapsedMs} ms after the command`);
};
