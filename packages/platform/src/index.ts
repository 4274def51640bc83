export {
	ConflictError, PlatformError, RejectedError, UnavailableError, WriteOutcomeUnknownError, type RowConflict,
} from './errors.js';
export {failureReason} from './failure-reason.js';
export {
	type HostList, type HostListing, type HostListingUpdate, type ListedHost,
} from './host-list.js';
export {type ObjectCondition, type ObjectStore, type StoredObject} from './object-store.js';
export {
	absentVersion,
	type ChangePage,
	type CommitResult,
	type PageOptions,
	type Row,
	type RowChange,
	type RowCondition,
	type RowPage,
	type RowWrite,
	type TableService,
	type Transaction,
} from './table-service.js';
export {HistoryLostError, type RowListing, type WatchableTable} from './watchable-table.js';
export {
	type TaskReport, type TaskResources, type TaskSpec, type WorkerReport, type Workers,
} from './workers.js';
export {
	classifyMissingAnswer, clientNameHeader, isNotSent, PlatformConnection, type PlatformCall, type PlatformConnectionOptions,
} from './http/connection.js';
export {HttpHostList} from './http/http-host-list.js';
export {HttpObjectStore} from './http/http-object-store.js';
export {HttpTableService} from './http/http-table-service.js';
export {HttpWorkers} from './http/http-workers.js';
export {
	objectPutSchema, rebootRequestSchema, rowsRequestSchema, taskRenewalSchema, taskSpecSchema, transactionSchema, workerHostsSchema,
} from './http/schemas.js';
export {backoffMs, pauseFor, type BackoffOptions} from './retrying/backoff.js';
export {RetryingTableService, type RetryingTableServiceOptions} from './retrying/retrying-table-service.js';
export {sweepNonceRows} from './retrying/sweep-nonces.js';
