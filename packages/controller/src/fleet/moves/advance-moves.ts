/**
Moves hosts between pools. A move is recorded only in the host's settings (`targetPool`). The host is marked as leaving, every gate confirms that it is drained, and then one conditional change sets the pool and the state `serving`. Concurrent changes are ordered by settings revision, so a host is in exactly one pool at any revision.
*/
import {type Host} from '@poplarnotch/common';
import {redrainAfterMs} from '../constants.js';
import {type Decision} from '../decision.js';
import {isDrained} from '../observations.js';

type Move = {
	readonly decision: Decision;
	readonly name: string;
	readonly host: Host;
	readonly targetPool: string;
};

type HostFields = Readonly<Record<string, string | undefined>>;

const requestChange = ({decision, name}: Move, action: string, fields: HostFields, expectedRevision: number): void => {
	decision.change({
		entity: `/hosts/${name}`, action, fields, expectedRevision, isExclusive: action === 'leave',
	});
};

const startMove = (move: Move): void => {
	const {decision, name, host, targetPool} = move;
	const {settings} = decision.state;
	if (host.pool === targetPool) {
		requestChange(move, 'cancel', {targetPool: undefined}, settings.revision);
		return;
	}

	if (!decision.isHostListFresh) {
		return;
	}

	// A host that is not confirmed to serve may still serve, so the budgets are checked for it too.
	const shortfalls = decision.budgets.shortfalls(name);
	decision.reportBlocked(`hosts/${name}`, shortfalls.map(({budget, shortBy}) => `budget ${budget} is short by ${shortBy}`).join('; '));
	if (shortfalls.length === 0) {
		decision.budgets.removeHost(name);
		decision.markTaken([name]);
		requestChange(move, 'leave', {state: 'leaving'}, settings.revision);
	}
};

const arrivalFields = ({host, targetPool}: Move): HostFields => ({
	pool: targetPool,
	targetPool: undefined,
	...(host.homePool === targetPool ? {homePool: undefined} : {}),
	state: 'serving',
});

const completeMoveWhenDrained = (move: Move): void => {
	const {decision, name, host, targetPool} = move;
	const drain = decision.ensureMoveDrain(name);
	if (decision.nowMs - drain.sinceMs > redrainAfterMs && isDrained(decision.state, name, drain.revision, drain.sinceMs)) {
		decision.clearMoveDrain(name);
		return;
	}

	if (isDrained(decision.state, name, drain.revision, drain.sinceMs)) {
		decision.info('host_moved', {host: name, from: host.pool, to: targetPool});
		requestChange(move, 'arrive', arrivalFields(move), drain.revision);
	}
};

const advanceMove = (move: Move): void => {
	const {decision, name, host} = move;
	if (decision.isChanging(`/hosts/${name}`)) {
		return;
	}

	if (host.state === 'leaving') {
		completeMoveWhenDrained(move);
		return;
	}

	decision.clearMoveDrain(name);
	if (host.state === 'serving' && !decision.taken.has(name)) {
		startMove(move);
	}
};

/** Advances every move as far as possible in this tick. */
export const advanceMoves = (decision: Decision): void => {
	const {hosts} = decision.state.settings;
	for (const name of decision.moveDrains.keys()) {
		if (hosts.get(name)?.targetPool === undefined) {
			decision.clearMoveDrain(name);
		}
	}

	const hostsOfWaves = new Set([...decision.waves.values()].flatMap(({progress}) => Object.keys(progress.hosts)));
	for (const [name, host] of hosts) {
		if (host.targetPool !== undefined && !hostsOfWaves.has(name)) {
			advanceMove({
				decision, name, host, targetPool: host.targetPool,
			});
		}
	}
};
