/**
Queries all gates for their requests in flight on given hosts. The RPC method `gate.inFlight` takes `{hosts}` and returns `{revision, inFlight: {host: count}}`.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	countSchema, parseWith, PoplarnotchError, z,
} from '@poplarnotch/common';
import {type Member, type PeerDirectory, type RpcClient} from '@poplarnotch/state';
import {type GateDrainReport} from '../fleet/types.js';
import {type QueryGates} from './fleet-types.js';

const inFlightMethod = 'gate.inFlight';

const reportSchema = z.object({
	revision: countSchema,
	inFlight: z.record(z.string(), countSchema),
});

/** Thrown if the members have not been read yet, so that the gates that may be alive are not known. */
export class GatesUnknownError extends PoplarnotchError {
	override readonly code = 'gates-unknown';
}

const queryGate = async (client: RpcClient, gate: Member, hosts: readonly string[]): Promise<readonly GateDrainReport[]> => {
	try {
		const parsed = parseWith(reportSchema, await client.call(gate.operationsUrl, inFlightMethod, {hosts}), gate.processId);
		return E.isLeft(parsed)
			? []
			: hosts.map(host => ({
				processId: gate.processId, revision: parsed.right.revision, host, inFlight: parsed.right.inFlight[host] ?? 0,
			}));
	} catch (error) {
		// A gate that does not respond confirms nothing, so its hosts do not count as drained.
		if (error instanceof PoplarnotchError) {
			return [];
		}

		throw error;
	}
};

/** Creates the query of all gates over RPC. */
export const createGateQuery = (client: RpcClient, directory: PeerDirectory): QueryGates => async hosts => {
	const gates = directory.members()?.filter(member => member.role === 'gate');
	if (gates === undefined) {
		throw new GatesUnknownError('The members have not been read yet');
	}

	const reports = await Promise.all(gates.map(async gate => queryGate(client, gate, hosts)));
	return {processIds: gates.map(gate => gate.processId), confirmations: reports.flat()};
};
