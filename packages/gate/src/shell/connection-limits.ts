/**
Divides the connections of each backend server among the gates. Each gate calculates the same limits from the number of gates.
*/
import {type FleetSettings} from '@poplarnotch/common';

/** Maximum number of connections from this gate to each backend server, by address. */
export const connectionLimitsOf = (settings: FleetSettings, gateCount: number): ReadonlyMap<string, number> =>
	new Map([...settings.hosts.values()].map(({address, pool}) => {
		const connections = settings.pools.get(pool)?.connectionsPerServer ?? 1;
		return [address, Math.max(Math.floor(connections / gateCount), 1)];
	}));
