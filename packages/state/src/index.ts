export {PeerProtocolError, PeerUnreachableError} from './peers/errors.js';
export {RpcClient, type RpcClientOptions} from './peers/rpc-client.js';
export {BootstrapDirectory, type BootstrapDirectoryOptions} from './peers/bootstrap-directory.js';
export {
	createRpcRoute, rpcPath, type RpcMethod, type RpcMethods,
} from './peers/rpc-server.js';
export {
	RevisionNotKeptError, SettingsBusyError, SettingsConflictError, SettingsRejectedError, SettingsUnreadableError,
} from './settings/errors.js';
export {
	isHeldByMajority, isInForce, revisionStatuses, type RevisionStatus, type ProcessRevisionStatus,
} from './settings/in-force.js';
export {
	RpcSettingsPeers, type PeerDirectory, type SettingsPeers, type SettingsStateResponse,
} from './settings/peer-messages.js';
export {logKey as settingsLogKey} from './settings/rows.js';
export {
	SettingsReplica, type FreshnessListener, type SettingsListener, type SettingsReplicaOptions,
} from './settings/replica.js';
export {changeToJson, editsToJson} from './settings/rows.js';
export {
	TableSettingsStore, type CheckedChange, type RollbackRequest, type SettingsStore, type SettingsStoreOptions,
} from './settings/store.js';
export {
	type ChangeRequest, type ChangeReview, type HeldLease, type Member, type ProcessRole, type ReviewOutcome, type SettingsChange, type UnconfirmedLease,
} from './types.js';
export type {AllotmentListener, Allotments, TeamDemand} from './allotments/types.js';
export type {LeaseListener, Leases} from './leases/types.js';
export type {
	KnownMember, MembersListener, MembersSource, MembersView, MemberStatus,
} from './membership/types.js';
export {MemberDirectory, type MemberDirectoryOptions} from './membership/member-directory.js';
export {MemberRegistration, type MemberRegistrationOptions} from './membership/member-registration.js';
export type {MemberIdentity} from './membership/rows.js';
export {LeaseContender, type LeaseContenderOptions} from './leases/lease-contender.js';
export {AllotmentManager, type AllotmentManagerOptions} from './allotments/allotment-manager.js';
export {TableClock, type TableClockReading} from './replicas/table-clock.js';
export {type RefreshRecord, TableReplica, type TableReplicaOptions} from './replicas/table-replica.js';
export {probeKey, RelayedTable, type RelayedTableOptions} from './relay/relayed-table.js';
export {ReachabilityMeter, type ReachabilityReport} from './reachability/reachability-meter.js';
export {
	maxAnswerAgeMs, OutageEvidence, type OutageEvidenceOptions, type OutageKnowledge, type OutagePeer,
} from './reachability/outage-evidence.js';
export {
	OutageProber, reachabilityMethod, reachabilityMethods, type OutageProberOptions,
} from './reachability/outage-prober.js';
export {relayMethod} from './relay/messages.js';
export {performRelayed} from './relay/perform-relayed.js';
export {RelayDirectory, type RelayDirectoryOptions} from './relay/relay-directory.js';
export {fenceKey} from './leases/rows.js';
export {LivenessMonitor, type DatagramTransport, type FailureDetection} from './liveness/liveness-monitor.js';
export {type Successor} from './liveness/types.js';
