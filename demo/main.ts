/**
Demo: runs the built binaries as separate processes on the loopback address, runs short scenarios on each of the two example deployments and checks the results. The last line is `demo: N checks passed, M failed`; the exit code is 1 if a check failed.
*/
import {join} from 'node:path';
import process from 'node:process';
import {Checks} from './checks.js';
import {ChildProcesses} from './child-processes.js';
import {Deployment, type DeploymentPlan} from './deployment.js';
import {runGateShutdown} from './scenarios/gate-shutdown.js';
import {runKeyWithdrawal} from './scenarios/key-withdrawal.js';
import {runMaintenanceWave} from './scenarios/maintenance-wave.js';
import {runIdempotentRequests} from './scenarios/idempotent-requests.js';
import {runSettingsChange} from './scenarios/settings-change.js';

const rootPath = join(import.meta.dirname, '..');

const deploymentPlans: readonly DeploymentPlan[] = [
	{
		name: 'khongor',
		settingsPath: join(rootPath, 'examples/khongor'),
		basePort: 7300,
		gateCount: 3,
		controllerCount: 2,
		team: 'altan-shop',
		queue: 'pairing',
		wavePool: 'invitations',
		waveQueue: 'invitations',
		workLabel: 'a pairing',
	},
	{
		name: 'burrito-pase',
		settingsPath: join(rootPath, 'examples/burrito-pase'),
		basePort: 7400,
		gateCount: 3,
		controllerCount: 2,
		team: 'gate-guides',
		queue: 'settlements',
		wavePool: 'receipts',
		waveQueue: 'receipts',
		workLabel: 'a payment',
	},
];

const issueTeamKey = async (deployment: Deployment): Promise<string> => {
	const result = await deployment.runCommand('key', 'issue', deployment.plan.team, '--output', 'json', '--reason', 'demo');
	const lastObject = result.stdout.slice(result.stdout.lastIndexOf('\n{') + 1);
	return (JSON.parse(lastObject) as {readonly key: string}).key;
};

const runScenarios = async (plan: DeploymentPlan, processes: ChildProcesses, checks: Checks): Promise<void> => {
	const deployment = new Deployment(plan, processes);
	const isReady = await deployment.start();
	checks.record('all processes become ready', isReady, `${plan.gateCount + plan.controllerCount} processes`);
	const applied = await deployment.runCommand('apply', join(plan.settingsPath, 'fleet.ini'), '--reason', 'demo', '--output', 'json');
	checks.record('the fleet\'s settings are accepted and in force', applied.exitCode === 0, applied.stderr.trim().split('\n').at(-1) ?? '');
	const firstKey = await issueTeamKey(deployment);
	const secondKey = await issueTeamKey(deployment);
	await runIdempotentRequests(deployment, firstKey, checks);
	await runKeyWithdrawal(deployment, secondKey, checks);
	await runSettingsChange(deployment, firstKey, checks);
	await runMaintenanceWave(deployment, firstKey, checks);
	await runGateShutdown(deployment, firstKey, checks);
};

const runDeployment = async (plan: DeploymentPlan): Promise<Checks> => {
	const checks = new Checks();
	const processes = new ChildProcesses(join(rootPath, 'dist'), join(rootPath, 'dist/demo-logs'));
	try {
		await runScenarios(plan, processes, checks);
	} catch (error) {
		checks.record(`${plan.name} is played to its end`, false, String(error));
	}

	await processes.stopAll();
	console.log(`${plan.name}: ${plan.gateCount} gates, ${plan.controllerCount} controllers`);
	console.log(checks.report);
	return checks;
};

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		// The exit handler of `ChildProcesses` kills the processes that still run.
		process.exit(1);
	});
}

const results = await Promise.all(deploymentPlans.map(runDeployment));
const passed = results.reduce((sum, checks) => sum + checks.passed, 0);
const failed = results.reduce((sum, checks) => sum + checks.failed, 0);
console.log(`demo: ${passed} checks passed, ${failed} failed`);
process.exitCode = failed > 0 ? 1 : 0;
