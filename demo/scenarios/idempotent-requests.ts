/**
Clients send non-idempotent requests with idempotency keys through all gates. Each request runs once, and a repetition at another gate returns the recorded response.
*/
import {type Checks} from '../checks.js';
import {type Deployment} from '../deployment.js';
import {type CallerAnswer, sendRequest} from '../traffic.js';

const requestCount = 30;

const send = async (deployment: Deployment, key: string, index: number, gateOffset: number): Promise<CallerAnswer> => sendRequest({
	gateUrl: deployment.gateUrls[(index + gateOffset) % deployment.gateUrls.length]!,
	queue: deployment.plan.queue,
	path: '/run?ms=20',
	key,
	method: 'POST',
	idempotencyKey: `${deployment.plan.name}-run-${index}`,
	runKey: `${deployment.plan.name}-run-${index}`,
});

const countRuns = async (deployment: Deployment): Promise<ReadonlyMap<string, number>> => {
	const counts = new Map<string, number>();
	for (const {address} of await deployment.listHosts()) {
		const response = await fetch(`${address}/_standin/runs`);
		const record = await response.json() as {readonly runs: Readonly<Record<string, number>>};
		for (const [runKey, runs] of Object.entries(record.runs)) {
			counts.set(runKey, (counts.get(runKey) ?? 0) + runs);
		}
	}

	return counts;
};

/** Runs the scenario. */
export const runIdempotentRequests = async (deployment: Deployment, key: string, checks: Checks): Promise<void> => {
	const indexes = Array.from({length: requestCount}, (_value, index) => index);
	const first = await Promise.all(indexes.map(async index => send(deployment, key, index, 0)));
	const answered = first.filter(answer => answer.status === 200).length;
	checks.record(`${deployment.plan.workLabel} run through all gates is answered`, answered === requestCount, `${answered} of ${requestCount} whole answers`);

	const repeated = await Promise.all(indexes.map(async index => send(deployment, key, index, 1)));
	const identical = repeated.filter((answer, index) => answer.status === 200 && answer.body === first[index]!.body).length;
	checks.record('a repeat at another gate gets the recorded outcome', identical === requestCount, `${identical} of ${requestCount} the same`);

	const runs = await countRuns(deployment);
	const counts = indexes.map(index => runs.get(`${deployment.plan.name}-run-${index}`) ?? 0);
	const ranOnce = counts.filter(count => count === 1).length;
	checks.record('each request ran exactly once', ranOnce === requestCount, `${ranOnce} of ${requestCount} ran once`);
};
