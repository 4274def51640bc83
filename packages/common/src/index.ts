export {assertNever} from './assert-never.js';
export {
	BoundedOutput, writeToDescriptor, writeFully, type WriteBytes,
} from './bounded-output.js';
export {buildId} from './build-id.js';
export {
	SystemClock, VirtualClock, type CancelTimer, type Clock,
} from './clock.js';
export {runDaemonCommand, type DaemonCommand} from './daemon-command.js';
export {InvalidInputError, PoplarnotchError, UnreachableError} from './errors.js';
export {
	checkedFrom, formatFinding, type Checked, type Finding,
} from './findings.js';
export * from './fleet-settings/index.js';
export {
	parseIni, placeInIni, type IniDocument, type IniLines,
} from './ini-file.js';
export {
	isNestedTooDeep, withoutDeepNesting, type JsonObject, type JsonValue,
} from './json.js';
export {LifecycleManager, ReleaseTimeoutError, type ReleaseFailure} from './lifecycle.js';
export {listenOn} from './listen.js';
export {
	createLogger, formatLogRecord, logLevels, silentLogger, type LogFields, type Logger, type LogLevel, type LogOutput, type LogValue,
} from './log.js';
export {MetricsRegistry} from './metrics.js';
export {OddEntryLog} from './odd-entry-log.js';
export {
	OperationsServer, type OperationsHandler, type OperationsRoute, type OperationsSource,
} from './operations-server.js';
export {problemContentType, type Problem, type RequestOutcome} from './problem.js';
export {
	logSectionSchema, platformSectionSchema, portSchema, processSectionSchema,
} from './process-sections.js';
export {
	parseOverride, readProcessSettings, scalarFromText, type SettingsOverride, type SettingsSchema,
} from './process-settings.js';
export {SeededRandom, SystemRandom, type RandomSource} from './random.js';
export {
	ReducerRuntime, type PerformEffect, type Reducer, type Step,
} from './reducer-runtime.js';
export {
	baseUrlSchema, type CheckedEntries, countSchema, durationMsSchema, isTextSchema, parseEntries, parseWith, segmentSchema, z,
} from './schema.js';
export {
	hashSecret, isSameHash, issueKey, keyFromAuthorization, parseKey, type IssuedKey, type PresentedKey,
} from './secrets.js';
export {TimeLimitError, withTimeLimit} from './time-limit.js';
