/**
Defines the fleets of the waves benchmark: the two current deployments and the two-year size.
*/
import {
	emptyFleetSettings, type Budget, type FleetSettings, type Host, type Pool, type Wave,
} from '@poplarnotch/common';

export type Deployment = {
	readonly name: string;
	readonly settings: FleetSettings;
	/** Time between two decisions. The controller itself uses 200 ms. */
	readonly tickMs: number;
};

type DeploymentSpec = {
	readonly name: string;
	readonly poolSizes: readonly number[];
	readonly spareHosts: number;
	readonly dataCentres: number;
	readonly canaryHosts: number;
	readonly wideningFactor: number;
	readonly maxFailures: number;
	readonly tickMs: number;
	readonly budgetOf: (pool: string, index: number) => Budget;
};

const hostsPerRack = 4;

const pool = (isSpare: boolean): Pool => ({
	slotsPerServer: 8, connectionsPerServer: 64, spare: isSpare, cancelGraceMs: 1000, minHosts: 0,
});

const rackBudget = (name: string, share: number): Budget => ({
	pool: name, minServing: 0, minServingShare: share, domainLosses: 1, domain: 'rack', windowMs: 0,
});

/** Assigns hosts to data centres in round-robin order and fills racks of four within each data centre. */
const placeHosts = (spec: DeploymentSpec): ReadonlyMap<string, Host> => {
	const hosts = new Map<string, Host>();
	const pools = [...spec.poolSizes.entries()].map(([index, size]) => ({name: `service-${index}`, size}));
	let number = 0;
	for (const {name, size} of [...pools, {name: 'spare', size: spec.spareHosts}]) {
		for (let index = 0; index < size; index++) {
			const dataCentre = number % spec.dataCentres;
			const indexInDataCentre = Math.floor(number / spec.dataCentres);
			hosts.set(`${name}-host-${index}`, {
				pool: name,
				state: 'serving',
				region: 'region-1',
				dataCentre: `dc-${dataCentre}`,
				rack: `rack-${Math.floor(indexInDataCentre / hostsPerRack)}`,
				address: 'http://127.0.0.1:1',
				maintainedAtMs: 0,
			});
			number++;
		}
	}

	return hosts;
};

const deploymentOf = (spec: DeploymentSpec): Deployment => {
	const names = spec.poolSizes.map((_size, index) => `service-${index}`);
	const wave: Wave = {
		pools: names,
		change: 'kernel-2',
		canaryHosts: spec.canaryHosts,
		wideningFactor: spec.wideningFactor,
		maxFailures: spec.maxFailures,
		drainTimeoutMs: 60_000,
		rebootTimeoutMs: 600_000,
		deadlineMs: 0,
		state: 'running',
	};
	return {
		name: spec.name,
		tickMs: spec.tickMs,
		settings: {
			...emptyFleetSettings,
			revision: 1,
			pools: new Map([...names.map((name): [string, Pool] => [name, pool(false)]), ['spare', pool(true)]]),
			hosts: placeHosts(spec),
			budgets: new Map(names.map((name, index): [string, Budget] => [name, spec.budgetOf(name, index)])),
			waves: new Map([['w1', wave]]),
		},
	};
};

/** Every fourth pool of the two-year fleet must tolerate the loss of a data centre; the others tolerate the loss of a rack. */
const twoYearBudget = (name: string, index: number): Budget => index % 4 === 0
	? {...rackBudget(name, 0.6), domain: 'dataCentre'}
	: rackBudget(name, 0.75);

export const deployments = (): readonly Deployment[] => [
	deploymentOf({
		name: 'khongor', poolSizes: [9, 8, 7, 6, 8], spareHosts: 4, dataCentres: 3, canaryHosts: 1, wideningFactor: 4, maxFailures: 1, tickMs: 200, budgetOf: name => rackBudget(name, 0.6),
	}),
	deploymentOf({
		name: 'burritoPase', poolSizes: [6, 7, 6, 9, 6], spareHosts: 3, dataCentres: 3, canaryHosts: 1, wideningFactor: 4, maxFailures: 1, tickMs: 200, budgetOf: name => rackBudget(name, 0.5),
	}),
	deploymentOf({
		name: 'twoYears',
		poolSizes: Array.from({length: 47}, (_unused, index) => 29 + (index % 2)),
		spareHosts: 14,
		dataCentres: 8,
		canaryHosts: 8,
		wideningFactor: 16,
		maxFailures: 8,
		tickMs: 500,
		budgetOf: twoYearBudget,
	}),
];
