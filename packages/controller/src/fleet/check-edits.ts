/**
Rejects operators' edits that conflict with planned work. The state and the pool of a host that a wave is stopping or rebooting must not change, so that the host is not set to serving in between. A host changes its pool only through `targetPool`, which drains it first.
*/
import {type Finding, type SettingsEdit, type SettingsTree} from '@poplarnotch/common';
import {type StoredWave} from './types.js';

const guardedFields = new Set(['state', 'pool', 'targetPool']);

const hostPath = /^\/hosts\/(?<host>[^\/]+)\/(?<field>[^\/]+)$/v;

type HostEdit = {
	readonly host: string;
	readonly field: string;
};

/** The host and the guarded field that an edit changes; `undefined` for any other edit and for hosts that the tree does not hold yet. */
const hostEditOf = (tree: SettingsTree, {path}: SettingsEdit): HostEdit | undefined => {
	const groups = hostPath.exec(path)?.groups as HostEdit | undefined;
	return groups !== undefined && guardedFields.has(groups.field) && tree.has(`/hosts/${groups.host}/pool`) ? groups : undefined;
};

/** Existing hosts of which the edits change a field that planned work depends on. */
export const guardedHostsIn = (tree: SettingsTree, edits: readonly SettingsEdit[]): ReadonlySet<string> =>
	new Set(edits.map(edit => hostEditOf(tree, edit)?.host).filter(host => host !== undefined));

/** The wave that is stopping or rebooting the host; in these steps an operator's edit can no longer take the host back from the wave. */
const waveRebootingHost = (waves: readonly StoredWave[], host: string): string | undefined => waves
	.find(({progress}) => ['stopping', 'rebooting'].includes(progress.hosts[host]?.step ?? ''))?.progress.wave;

const poolFinding = ({path, value}: SettingsEdit): Finding => ({
	place: path,
	code: 'pool-needs-drain',
	message: value === undefined
		? 'set the host\'s state to quarantined first; it leaves the settings once it has no work'
		: 'set targetPool instead; the host is drained before it moves',
});

const checkEdit = (tree: SettingsTree, waves: readonly StoredWave[], edit: SettingsEdit): readonly Finding[] => {
	const hostEdit = hostEditOf(tree, edit);
	if (hostEdit === undefined) {
		return [];
	}

	const {path, value} = edit;
	const base = `/hosts/${hostEdit.host}`;
	const wave = waveRebootingHost(waves, hostEdit.host);
	if (wave !== undefined) {
		return [{place: path, code: 'host-in-wave', message: `wave "${wave}" is rebooting the host; wait until it is back`}];
	}

	const skipsDrain = hostEdit.field === 'pool' && value !== tree.get(`${base}/pool`) && tree.get(`${base}/state`) !== 'quarantined';
	return skipsDrain ? [poolFinding(edit)] : [];
};

/** Returns the findings against an operator's edits of a tree; empty if the edits are allowed. */
export const checkHostEdits = (tree: SettingsTree, waves: readonly StoredWave[], edits: readonly SettingsEdit[]): readonly Finding[] =>
	edits.flatMap(edit => checkEdit(tree, waves, edit));
