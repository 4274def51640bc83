/**
Creates a gate from its settings, with HTTP clients for the platform services.
*/
import {
	type Clock, type Logger, type MetricsRegistry, type RandomSource,
} from '@poplarnotch/common';
import {
	HttpHostList, HttpObjectStore, HttpTableService, PlatformConnection,
} from '@poplarnotch/platform';
import {
	createRpcRoute, RpcClient, RpcSettingsPeers, SettingsReplica,
} from '@poplarnotch/state';
import {type GateSettings} from './settings.js';
import {GateProcess} from './shell/gate-process.js';
import {answerInFlight, inFlightMethod} from './shell/in-flight-method.js';
import {Membership} from './shell/membership.js';
import {deliverSlotsMethod} from './shell/slot-messages.js';

/** Dependencies of a gate besides its settings. */
export type GateEnvironment = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly metrics: MetricsRegistry;
	readonly log: Logger;
};

/** Creates a gate that is ready to be started. */
export const createGate = (settings: GateSettings, environment: GateEnvironment): GateProcess => {
	const {clock, random, metrics, log} = environment;
	const {id, host, dataCentre, region} = settings.process;
	const connection = new PlatformConnection({baseUrl: settings.platform.url, clientName: id});
	const table = new HttpTableService(connection);
	const hostList = new HttpHostList(connection);
	const membership = new Membership({
		identity: {
			processId: id, host, dataCentre, region,
		},
		table,
		hostList,
		clock,
		log,
	});
	const rpcClient = new RpcClient({secret: settings.peers.secret, metrics});
	const peers = new RpcSettingsPeers(membership, rpcClient);
	const source = new SettingsReplica({
		processId: id, table, objects: new HttpObjectStore(connection), clock, logger: log, metrics, peers,
	});
	const gate: GateProcess = new GateProcess({
		settings,
		table,
		hostList,
		source,
		membership,
		clock,
		random,
		metrics,
		log,
		callPeer: async (baseUrl, method, parameters) => rpcClient.call(baseUrl, method, parameters),
		async closeClients() {
			await Promise.all([rpcClient.close(), connection.close()]);
		},
		routes: [createRpcRoute(settings.peers.secret, {
			...source.rpcMethods(),
			[inFlightMethod]: parameters => answerInFlight(gate.state, parameters),
			[deliverSlotsMethod]: parameters => gate.receiveSlots(parameters),
		})],
	});
	return gate;
};
