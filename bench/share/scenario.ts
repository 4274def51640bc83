/**
Defines the two deployments as settings and as a stream of arrivals, with load peaks that move from pool to pool.
*/
import {
	compileFleetSettings, type FleetSettings, hashSecret, type JsonValue, type PresentedKey, type RandomSource,
} from '@poplarnotch/common';
import * as E from 'fp-ts/lib/Either.js';

/** A team with its share of the capacity and `part`, its fraction of all requests. */
type TeamTraffic = {readonly name: string; readonly share: number; readonly part: number};

/** Fleet and traffic of one deployment. */
export type Deployment = {
	readonly name: string;
	readonly oneWayMs: number;
	/** Servers of each pool. */
	readonly servers: readonly number[];
	readonly teams: readonly TeamTraffic[];
	readonly meanRunMs: number;
	/** Standard deviation of the logarithm of run times. */
	readonly runSigma: number;
};

export const gateNames = Array.from({length: 8}, (_, index) => `gate-${index + 1}`);
export const slotsPerServer = 8;
export const poolNames = ['pool-1', 'pool-2', 'pool-3', 'pool-4', 'pool-5'];

const teamsWith = (shares: readonly number[]): readonly TeamTraffic[] =>
	[0.34, 0.26, 0.16, 0.1, 0.08, 0.06].map((requestFraction, index) => ({name: `team-${index + 1}`, share: shares[index]!, part: requestFraction}));

export const deployments: readonly Deployment[] = [
	{
		name: 'khongor', oneWayMs: 1, servers: [6, 7, 8, 9, 7], teams: teamsWith([3, 3, 2, 2, 1, 1]), meanRunMs: 100, runSigma: 0.7,
	},
	{
		name: 'burrito-pase', oneWayMs: 1.5, servers: [9, 6, 7, 8, 6], teams: teamsWith([4, 2, 2, 1, 1, 1]), meanRunMs: 60, runSigma: 1,
	},
];

/** Interval between the peaks of two successive pools. A peak lasts for all but the last second of it. */
export const peakIntervalMs = 5000;
export const peakMs = 4000;
export const warmUpMs = 3000;

/** Mean load as a fraction of the pool's capacity. The load is five times as high during a peak and a twentieth of it otherwise. */
const meanLoad = 0.28;
const peakFactor = 5;
const offPeakFactor = 0.05;

/** The team whose upper limit is binding, and that limit. */
export const limitedTeam = 'team-6';
const limit = 24;
const nonBindingLimit = 4000;

export const upperLimitOf = (team: string): number => team === limitedTeam ? limit : nonBindingLimit;

export const keyOf = (team: string): PresentedKey => ({keyId: team, secretHash: hashSecret(team)});

/** Returns the settings of the deployment. In the FIFO baseline all requests belong to one team and none are urgent. */
export const settingsOf = (deployment: Deployment, isFifo: boolean): FleetSettings => {
	const tree = new Map<string, JsonValue>();
	for (const team of deployment.teams) {
		tree.set(`/teams/${team.name}/share`, team.share);
		tree.set(`/teams/${team.name}/upperLimit`, isFifo ? nonBindingLimit : upperLimitOf(team.name));
		tree.set(`/teams/${team.name}/keys/${team.name}/hash`, keyOf(team.name).secretHash);
	}

	for (const [index, pool] of poolNames.entries()) {
		tree.set(`/pools/${pool}/slotsPerServer`, slotsPerServer);
		for (const queue of [pool, `${pool}-urgent`]) {
			tree.set(`/queues/${queue}/pool`, pool);
			tree.set(`/queues/${queue}/maxQueued`, 100_000);
			tree.set(`/queues/${queue}/maxWaitMs`, 60_000);
			tree.set(`/queues/${queue}/urgent`, queue !== pool && !isFifo);
		}

		for (let server = 1; server <= deployment.servers[index]!; server++) {
			const host = `/hosts/${pool}-${server}`;
			tree.set(`${host}/pool`, pool);
			tree.set(`${host}/dataCentre`, `dc${(server % 3) + 1}`);
			tree.set(`${host}/rack`, `r${Math.ceil(server / 4)}`);
			tree.set(`${host}/address`, 'http://127.0.0.1:9000');
		}
	}

	const compiled = compileFleetSettings(tree, 1);
	if (E.isLeft(compiled)) {
		throw new TypeError(JSON.stringify(compiled.left));
	}

	return compiled.right;
};

/** A request that will arrive. */
export type Arrival = {
	readonly atMs: number;
	readonly pool: string;
	readonly team: string;
	readonly gate: number;
	readonly isUrgent: boolean;
	readonly runMs: number;
};

/** Distribution of arrivals over the gates: even, or with most requests of each team at one gate. */
export type Spread = 'even' | 'skewed';

const urgentFraction = 0.15;
const primaryGateFraction = 0.8;

const normalFrom = (random: RandomSource): number =>
	Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());

const pickTeam = (teams: readonly TeamTraffic[], random: RandomSource): number => {
	let point = random.next();
	const index = teams.findIndex(team => {
		point -= team.part;
		return point < 0;
	});
	return Math.max(index, 0);
};

const pickGate = (team: number, spread: Spread, random: RandomSource): number => {
	const isPrimary = spread === 'skewed' && random.next() < primaryGateFraction;
	return isPrimary ? team % gateNames.length : Math.floor(random.next() * gateNames.length);
};

const loadAt = (poolIndex: number, atMs: number): number => {
	const inCycleMs = (atMs - warmUpMs) % (peakIntervalMs * poolNames.length);
	const inIntervalMs = inCycleMs - (poolIndex * peakIntervalMs);
	const isPeak = atMs >= warmUpMs && inIntervalMs >= 0 && inIntervalMs < peakMs;
	return meanLoad * (isPeak ? peakFactor : offPeakFactor);
};

/** Returns all arrivals until `endMs`, sorted by time. */
export const arrivalsOf = (deployment: Deployment, spread: Spread, endMs: number, random: RandomSource): readonly Arrival[] => {
	const arrivals: Arrival[] = [];
	for (const [poolIndex, pool] of poolNames.entries()) {
		const perMs = deployment.servers[poolIndex]! * slotsPerServer / deployment.meanRunMs;
		let atMs = 0;
		while (atMs < endMs) {
			// Steps of at most 50 ms, which is short compared with the gaps between off-peak arrivals, so that the rate follows a change of load quickly.
			const rate = perMs * loadAt(poolIndex, atMs);
			const gapMs = -Math.log(1 - random.next()) / rate;
			if (gapMs > 50) {
				atMs += 50;
				continue;
			}

			atMs += gapMs;
			const team = pickTeam(deployment.teams, random);
			const spreadFactor = Math.exp((normalFrom(random) * deployment.runSigma) - ((deployment.runSigma ** 2) / 2));
			arrivals.push({
				atMs,
				pool,
				team: deployment.teams[team]!.name,
				gate: pickGate(team, spread, random),
				isUrgent: random.next() < urgentFraction,
				runMs: deployment.meanRunMs * spreadFactor,
			});
		}
	}

	return arrivals.toSorted((a, b) => a.atMs - b.atMs);
};
