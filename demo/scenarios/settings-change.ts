/**
A team's upper limit is lowered. Once the change is in force on every process, the number of concurrent runs stays within the limit.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {type Checks} from '../checks.js';
import {type Deployment} from '../deployment.js';
import {SteadyTraffic} from '../traffic.js';

const loweredLimit = 6;
const clientCount = 24;
const trafficMs = 1500;

/** Returns the base URL of one backend server. Any server will do, since the stand-in counts runs over all servers of its process. */
const anyBackendUrl = async (deployment: Deployment): Promise<string> => {
	const [first] = await deployment.listHosts();
	return first!.address;
};

const resetRunCount = async (backendUrl: string): Promise<void> => {
	const response = await fetch(`${backendUrl}/_standin/reset`, {method: 'POST'});
	await response.arrayBuffer();
};

const readMaxRunning = async (backendUrl: string): Promise<number> => {
	const response = await fetch(`${backendUrl}/_standin/total`);
	const count = await response.json() as {readonly maxRunning: number};
	return count.maxRunning;
};

/** Runs the scenario and restores the limit by a rollback. */
export const runSettingsChange = async (deployment: Deployment, key: string, checks: Checks): Promise<void> => {
	const path = `/teams/${deployment.plan.team}/upperLimit`;
	const startMs = performance.now();
	const changed = await deployment.runCommand('set', path, String(loweredLimit), '--reason', 'demo', '--output', 'json');
	const elapsedMs = Math.round(performance.now() - startMs);
	checks.record('a settings change is in force on every process within 3 s', changed.exitCode === 0 && elapsedMs < 3000, `${elapsedMs} ms with the command's start`);

	const backendUrl = await anyBackendUrl(deployment);
	await resetRunCount(backendUrl);
	const traffic = new SteadyTraffic(deployment.gateUrls, clientCount, {queue: deployment.plan.waveQueue, path: '/?ms=40', key});
	await sleep(trafficMs);
	const maxRunning = await readMaxRunning(backendUrl);
	const report = await traffic.stop();
	checks.record('no more than the upper limit runs', maxRunning <= loweredLimit, `at most ${maxRunning} ran at one time, limit ${loweredLimit}`);
	checks.record('the team is served within its limit', report.completed === report.sent && report.sent > 0, `${report.completed} of ${report.sent} whole answers`);

	const {revision} = JSON.parse(changed.stdout) as {readonly revision: number};
	const rolledBack = await deployment.runCommand('rollback', String(revision - 1), '--reason', 'demo');
	checks.record('a rollback is a new revision in force', rolledBack.exitCode === 0, `exit code ${rolledBack.exitCode}`);
};
