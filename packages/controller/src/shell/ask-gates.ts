/**
Asks all gates what they have in flight on some hosts: the RPC method `gate.inFlight` with `{hosts}`, answered by `{revision, inFlight: {host: count}}`.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	countSchema, parseWith, PoplarnotchError, z,
} from '@poplarnotch/common';
import {type Member, type PeerDirectory, type RpcClient} from '@poplarnotch/state';
import {type GateDrainReport} from '../fleet/types.js';
import {type AskGates} from './fleet-types.js';

const inFlightMethod = 'gate.inFlight';

const answerSchema = z.object({
	revision: countSchema,
	inFlight: z.record(z.string(), countSchema),
});

/** The members have not been read yet, so it is not known which gates may be alive. */
export class GatesUnknownError extends PoplarnotchError {
	override readonly code = 'gates-unknown';
}

const askGate = async (client: RpcClient, gate: Member, hosts: readonly string[]): Promise<readonly GateDrainReport[]> => {
	try {
		const parsed = parseWith(answerSchema, await client.call(gate.operationsUrl, inFlightMethod, {hosts}), gate.processId);
		return E.isLeft(parsed)
			? []
			: hosts.map(host => ({
				processId: gate.processId, revision: parsed.right.revision, host, inFlight: parsed.right.inFlight[host] ?? 0,
			}));
	} catch (error) {
		// A gate that does not answer confirms nothing.
		if (error instanceof PoplarnotchError) {
			return [];
		}

		throw error;
	}
};

/** Asks over RPC. */
export const createAskGates = (client: RpcClient, directory: PeerDirectory): AskGates => async hosts => {
	const gates = directory.members()?.filter(member => member.role === 'gate');
	if (gates === undefined) {
		throw new GatesUnknownError('The members have not been read yet');
	}

	const answers = await Promise.all(gates.map(async gate => askGate(client, gate, hosts)));
	return {processIds: gates.map(gate => gate.processId), confirmations: answers.flat()};
};
