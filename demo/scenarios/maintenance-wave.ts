/**
A maintenance wave covers a pool while clients send requests. Every host is rebooted once, and every request is answered completely.
*/
import {type Checks} from '../checks.js';
import {type Deployment} from '../deployment.js';
import {SteadyTraffic} from '../traffic.js';
import {waitUntil} from '../wait.js';

const clientCount = 6;
const waveTimeoutMs = 25_000;
const waveName = 'demo';

type ListedHosts = {readonly hosts: ReadonlyArray<{readonly pool: string; readonly state?: string; readonly maintainedAtMs?: number}>};

const isPoolMaintained = async (deployment: Deployment): Promise<boolean> => {
	const result = await deployment.runCommand('host', '--output', 'json');
	if (result.exitCode !== 0) {
		return false;
	}

	const {hosts} = JSON.parse(result.stdout) as ListedHosts;
	return hosts
		.filter(host => host.pool === deployment.plan.wavePool)
		.every(host => (host.maintainedAtMs ?? 0) > 0 && (host.state ?? 'serving') === 'serving');
};

/** Runs the scenario. */
export const runMaintenanceWave = async (deployment: Deployment, key: string, checks: Checks): Promise<void> => {
	const {wavePool, waveQueue} = deployment.plan;
	await deployment.runCommand('wave', 'create', waveName, '--pools', wavePool, '--change', 'kernel-update', '--reason', 'demo');
	const traffic = new SteadyTraffic(deployment.gateUrls, clientCount, {
		queue: waveQueue, path: '/?ms=15', key, method: 'POST',
	});
	const startMs = performance.now();
	const started = await deployment.runCommand('wave', 'start', waveName, '--no-wait', '--reason', 'demo');
	const isDone = started.exitCode === 0 && await waitUntil(async () => isPoolMaintained(deployment), waveTimeoutMs);
	const elapsedMs = Math.round(performance.now() - startMs);
	const report = await traffic.stop();
	checks.record('the wave maintains every host of the pool', isDone, `${elapsedMs} ms`);
	const failure = report.firstFailure === undefined ? '' : `; first failure ${report.firstFailure.status} ${report.firstFailure.body.slice(0, 120)}`;
	checks.record('no request is cut or refused during the wave', report.completed === report.sent, `${report.completed} of ${report.sent} whole answers${failure}`);
};
