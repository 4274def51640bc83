export {
	BackendStandIn, runKeyHeader, type BackendRecord, type BackendStandInOptions,
} from './backends/backend-stand-in.js';
export {
	noBackendFaults, noPlatformFaults, type BackendFaults, type PlatformFaults,
} from './platform/faults.js';
export {MemoryHosts} from './platform/memory-hosts.js';
export {MemoryObjectStore} from './platform/memory-object-store.js';
export {MemoryTableService} from './platform/memory-table.js';
export {MemoryWorkers} from './platform/memory-workers.js';
export {
	PlatformStandIn, type PlatformCounts, type PlatformStandInOptions,
} from './platform/platform-stand-in.js';
export {TokenBucket} from './platform/token-bucket.js';
export {BackendPool, type BackendServerOptions} from './backends/backend-pool.js';
export {advanceVirtualTime} from './advance.js';
export {trackedRowPrefix, UnreliableTable, type CallOutcome} from './platform/unreliable-table.js';
export {PausableProcess} from './pausable-process.js';
