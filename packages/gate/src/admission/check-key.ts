/**
Finds the team that a request counts for, from its key. The presented secret is compared with a hash even if the key is unknown, so that the response time does not reveal whether a key id exists.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	isSameHash, type FleetSettings, type OwnedKey, type PresentedKey, type Problem, type Queue,
} from '@poplarnotch/common';
import {keyRefused, keyRequired, teamRefused} from '../problems.js';

/** Placeholder for the hash of unknown keys; no secret is known to have this hash. */
const unknownKeyHash = '0'.repeat(64);

/** Returns true if the key exists, has this secret and is not withdrawn. */
const isValidKey = (settings: FleetSettings, presented: PresentedKey): boolean => {
	const key = settings.keys.get(presented.keyId);
	const isSame = isSameHash(presented.secretHash, key?.hash ?? unknownKeyHash);
	return isSame && key !== undefined && !key.withdrawn;
};

const findKey = (settings: FleetSettings, presented: PresentedKey): E.Either<Problem, OwnedKey> =>
	isValidKey(settings, presented)
		? E.right(settings.keys.get(presented.keyId)!)
		: E.left(keyRefused());

/** Returns true if the queue accepts requests of the team. */
const isTeamAllowed = (queue: Queue, team: string): boolean =>
	queue.teams.length === 0 || queue.teams.includes(team);

/** Returns the team that the request counts for, or the refusal. */
export const teamFromKey = (
	settings: FleetSettings,
	queueName: string,
	queue: Queue,
	presented: PresentedKey | undefined,
): E.Either<Problem, string> => {
	if (presented === undefined) {
		return queue.open && queue.owner !== undefined ? E.right(queue.owner) : E.left(keyRequired(queueName));
	}

	const key = findKey(settings, presented);
	if (E.isLeft(key)) {
		return key;
	}

	const {team} = key.right;
	return isTeamAllowed(queue, team) ? E.right(team) : E.left(teamRefused(queueName, team));
};
