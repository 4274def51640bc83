/**
The RPC method `gate.inFlight`, with which controllers query whether a host is drained. It takes `{hosts}` and returns the revision of the settings that the gate's reducer uses and the number of requests in flight at each host. A host that is leaving at that revision receives no new work from this gate.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	formatFinding, InvalidInputError, type JsonObject, parseWith, z,
} from '@poplarnotch/common';
import {type GateState, runningOnHost} from '../state.js';

export const inFlightMethod = 'gate.inFlight';

const parametersSchema = z.object({hosts: z.array(z.string())});

/** Handles a call of `gate.inFlight`. Throws `InvalidInputError` for malformed parameters. */
export const answerInFlight = (state: GateState, parameters: unknown): JsonObject => {
	const parsed = parseWith(parametersSchema, parameters, inFlightMethod);
	if (E.isLeft(parsed)) {
		throw new InvalidInputError(parsed.left.map(formatFinding).join('; '));
	}

	const {hosts} = parsed.right;
	return {
		revision: state.settings.revision,
		inFlight: Object.fromEntries(hosts.map(host => [host, runningOnHost(state, host)])),
	};
};
