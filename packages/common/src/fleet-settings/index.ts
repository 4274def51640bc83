export {addressOf, entityKinds, type SettingAddress} from './entity-kinds.js';
export {checkFleetSettings} from './check.js';
export {compileFleetSettings, emptyFleetSettings, SettingsCompiler} from './compile.js';
export {applyEdits, diffTrees} from './edits.js';
export {iniFromTree, settingFromText, treeFromIni} from './ini.js';
export {hostStates} from './schemas.js';
export type {
	Budget, FleetOptions, Host, Operator, Pool, Queue, Team, TeamKey, Wave,
} from './schemas.js';
export type {
	FleetSettings, OwnedKey, SettingsEdit, SettingsPath, SettingsTree,
} from './types.js';
