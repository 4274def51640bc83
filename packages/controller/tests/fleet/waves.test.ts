/**
Property tests of waves and moves with generated fleets, faults and concurrent operator changes.
*/
import fc from 'fast-check';
import {type SettingsEdit} from '@poplarnotch/common';
import {describe, expect, it} from 'vitest';
import {type WaveProgress} from '../../src/fleet/types.js';
import {FleetSimulation, type SimulationOptions} from './fleet-simulation.js';

const propertyRuns = {seed: 20_261_204, numRuns: 60};

type PoolSpec = {readonly hosts: number; readonly slack: number; readonly domain: 'rack' | 'dataCentre'};

const poolShape = fc.record({
	hosts: fc.integer({min: 5, max: 9}),
	slack: fc.integer({min: 1, max: 3}),
	domain: fc.constantFrom('rack' as const, 'dataCentre' as const),
});

const hostEdits = (pool: string, index: number): readonly SettingsEdit[] => {
	const name = `${pool}-${index}`;
	const dataCentre = `dc${index % 3}`;
	return Object.entries({
		pool, dataCentre, rack: `r${Math.floor(index / 8)}`, address: `http://127.0.0.1:1/${name}`,
	}).map(([field, value]) => ({path: `/hosts/${name}/${field}`, value}));
};

/** Largest number of the pool's hosts in one domain; `hostEdits` assigns hosts to the data centres in turn. */
const largestDomain = ({hosts, domain}: PoolSpec): number =>
	domain === 'dataCentre' ? Math.ceil(hosts / 3) : Math.min(3, Math.ceil(hosts / 3));

const fleetEdits = (shapes: readonly PoolSpec[], wave: Readonly<Record<string, SettingsEdit['value']>>): readonly SettingsEdit[] => [
	{path: '/pools/spare/spare', value: true},
	...[0, 1, 2].flatMap(index => hostEdits('spare', index)),
	...shapes.flatMap((shape, number): readonly SettingsEdit[] => {
		const pool = `p${number}`;
		const minServing = Math.max(0, shape.hosts - largestDomain(shape) - shape.slack);
		return [
			{path: `/pools/${pool}/slotsPerServer`, value: 8},
			...Array.from({length: shape.hosts}, (_unused, index) => hostEdits(pool, index)).flat(),
			{path: `/budgets/${pool}/pool`, value: pool},
			{path: `/budgets/${pool}/minServing`, value: minServing},
			{path: `/budgets/${pool}/domain`, value: shape.domain},
		];
	}),
	...Object.entries({
		pools: shapes.map((_shape, number) => `p${number}`), change: 'kernel-2', rebootTimeoutMs: 30_000, drainTimeoutMs: 8000, state: 'running', ...wave,
	}).map(([field, value]): SettingsEdit => ({path: `/waves/w1/${field}`, value})),
];

const fault = fc.record({
	atMs: fc.integer({min: 1000, max: 60_000}),
	type: fc.constantFrom('crash', 'rackCrash', 'outage', 'leaseChange', 'operatorDrain', 'operatorMove', 'operatorRelease', 'suspect', 'unhealthy', 'pause'),
	pick: fc.nat(1000),
	lengthMs: fc.integer({min: 500, max: 12_000}),
});

type Fault = {readonly atMs: number; readonly type: string; readonly pick: number; readonly lengthMs: number};

const injectFault = (fleet: FleetSimulation, {type, pick, lengthMs}: Fault): void => {
	const names = [...fleet.settings.hosts.keys()];
	const name = names[pick % names.length]!;
	const host = fleet.settings.hosts.get(name)!;
	switch (type) {
		case 'crash': {
			fleet.crash(name, lengthMs);
			break;
		}

		case 'rackCrash': {
			fleet.crashRack(`${host.dataCentre}/${host.rack}`, lengthMs);
			break;
		}

		case 'outage': {
			fleet.tableDownUntilMs = fleet.nowMs + lengthMs;
			break;
		}

		case 'leaseChange': {
			fleet.changeController(lengthMs);
			break;
		}

		case 'operatorDrain': {
			if (host.state === 'serving') {
				fleet.drainByOperator(name, lengthMs);
			}

			break;
		}

		case 'operatorMove': {
			fleet.setHost(name, {targetPool: ['spare', 'p0', 'p1'].find(pool => fleet.settings.pools.has(pool) && pool !== host.pool)});
			break;
		}

		case 'operatorRelease': {
			if (host.state === 'leaving') {
				fleet.setHost(name, {state: 'serving'});
			}

			break;
		}

		case 'unhealthy': {
			fleet.makeUnhealthy(name, lengthMs);
			break;
		}

		case 'pause': {
			fleet.edit([{path: '/waves/w1/state', value: 'paused'}]);
			break;
		}

		default: {
			fleet.suspect(name);
		}
	}
};

/** Resumes the wave, as an operator does, whenever it is found paused; checks every 5 s. */
const resumeWhenPaused = (fleet: FleetSimulation): void => {
	fleet.clock.schedule(5000, () => {
		if (fleet.settings.waves.get('w1')!.state === 'paused') {
			fleet.edit([{path: '/waves/w1/state', value: 'running'}]);
		}

		resumeWhenPaused(fleet);
	});
};

const createFleet = (shapes: readonly PoolSpec[], wave: Readonly<Record<string, SettingsEdit['value']>>, options: Partial<SimulationOptions> = {}): FleetSimulation => new FleetSimulation({
	seed: 1, edits: fleetEdits(shapes, wave), listLagMs: 1000, gateLagMs: 500, rebootMs: 4000, lossShare: 0.1, ...options,
});

const progressOf = (fleet: FleetSimulation): WaveProgress | undefined => fleet.rows.get('w1')?.progress;

const rebootCounts = (fleet: FleetSimulation): readonly number[] =>
	[...new Set(fleet.reboots)].map(host => fleet.reboots.filter(other => other === host).length);

describe('waves', () => {
	it('keep within budgets, drain hosts first, reboot each host once and complete despite faults', () => {
		fc.assert(fc.property(
			fc.array(poolShape, {minLength: 1, maxLength: 2}),
			fc.array(fault, {maxLength: 8}),
			fc.record({
				seed: fc.nat(1_000_000),
				listLagMs: fc.integer({min: 0, max: 4000}),
				gateLagMs: fc.integer({min: 10, max: 2000}),
				lossShare: fc.constantFrom(0, 0.1, 0.3),
				raceShare: fc.constantFrom(0, 0.3),
				warmUpMs: fc.constantFrom(0, 6000),
			}),
			(shapes, faults, drawn) => {
				const fleet = createFleet(shapes, {canaryHosts: 1, maxFailures: 2}, drawn);
				resumeWhenPaused(fleet);
				for (const next of faults) {
					fleet.clock.schedule(next.atMs, () => {
						injectFault(fleet, next);
					});
				}

				fleet.run(61_000);
				const isDone = fleet.runUntil(() => progressOf(fleet)?.phase === 'done', 900_000);
				expect(fleet.violations).toEqual([]);
				expect(rebootCounts(fleet).filter(count => count > 1)).toEqual([]);
				expect(isDone).toBe(true);
			},
		), propertyRuns);
	});

	it('pause at the failure limit if the change breaks every host', () => {
		fc.assert(fc.property(
			fc.array(poolShape, {minLength: 1, maxLength: 2}),
			fc.integer({min: 1, max: 4}),
			fc.integer({min: 0, max: 3}),
			fc.nat(1_000_000),
			(shapes, canaryHosts, maxFailures, seed) => {
				const fleet = createFleet(shapes, {canaryHosts, maxFailures}, {seed, isBroken: () => true});
				fleet.runUntil(() => fleet.settings.waves.get('w1')!.state === 'paused', 400_000);
				fleet.run(60_000);
				expect(fleet.settings.waves.get('w1')!.state).toBe('paused');
				expect(fleet.reboots.length).toBeLessThanOrEqual(Math.max(1, maxFailures));
				expect(fleet.violations).toEqual([]);
			},
		), propertyRuns);
	});

	it('take no second host before the canary hosts have returned', () => {
		const fleet = createFleet([{hosts: 9, slack: 3, domain: 'rack'}], {canaryHosts: 1});
		fleet.runUntil(() => fleet.reboots.length > 0, 60_000);
		fleet.run(3000);
		expect(Object.keys(progressOf(fleet)!.hosts)).toEqual(fleet.reboots);
	});
});
