/**
The dependencies of a gate, and the results of its start and its graceful shutdown.
*/
import {
	type Clock, type Logger, type MetricsRegistry, type OperationsRoute, type RandomSource,
} from '@poplarnotch/common';
import {type HostList, type TableService} from '@poplarnotch/platform';
import {type GateSettings} from '../settings.js';
import {type Membership} from './membership.js';
import {type CallPeer} from './slot-peers.js';
import {type SettingsSource} from './sources.js';

/** The dependencies of a gate. */
export type GateProcessParts = {
	readonly settings: GateSettings;
	readonly table: TableService;
	readonly hostList: HostList;
	readonly source: SettingsSource;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: MetricsRegistry;
	readonly log: Logger;
	readonly callPeer: CallPeer;
	/** Additional routes of the operations port. */
	readonly routes: readonly OperationsRoute[];
	/** Closes the connections to the platform and to peers. */
	closeClients(): Promise<void>;
};

/** The ports on which a gate listens; the operating system chooses a port that is configured as 0. */
export type GatePorts = {
	readonly port: number;
	readonly operationsPort: number;
};

/** Result of a graceful shutdown. */
export type DrainResult = {
	/** False if the shutdown was ended by its timeout. */
	readonly isWhole: boolean;
};
