/**
Performs table calls for other processes. It uses only this process's direct path to the table service, so that a call is relayed at most once.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	assertNever, InvalidInputError, type JsonValue, parseWith,
} from '@poplarnotch/common';
import {
	ConflictError, HistoryLostError, PlatformError, RejectedError, type WatchableTable,
} from '@poplarnotch/platform';
import {type RelayResponse, type RelayedCall, relayedCallSchema} from './messages.js';

const performCall = async (table: WatchableTable, call: RelayedCall): Promise<unknown> => {
	switch (call.type) {
		case 'commit': {
			return table.commit(call.transaction);
		}

		case 'readRows': {
			return table.readRows(call.keys);
		}

		case 'readPrefix': {
			return table.readPrefix(call.prefix, call.options);
		}

		case 'changesSince': {
			return table.changesSince(call.prefix, call.revision);
		}

		case 'listRows': {
			return table.listRows(call.prefix);
		}

		case 'readRevision': {
			return table.readRevision();
		}

		default: {
			return assertNever(call);
		}
	}
};

const errorResponseOf = (error: PlatformError): RelayResponse => {
	if (error instanceof ConflictError) {
		return {type: 'conflict', conflicts: [...error.conflicts]};
	}

	if (error instanceof RejectedError) {
		return {type: 'rejected', message: error.message};
	}

	if (error instanceof HistoryLostError) {
		return {type: 'history-lost', message: error.message};
	}

	return {type: error.mayBeApplied ? 'unknown-outcome' : 'unavailable', message: error.message};
};

/** The RPC method that a process provides to its peers. A call is refused at once while this process does not reach the table service, since a commit that is sent without an answer has an unknown outcome. */
export const performRelayed = async (table: WatchableTable, parameters: unknown, isReached: () => boolean = () => true): Promise<JsonValue> => {
	const call = parseWith(relayedCallSchema, parameters, 'table.perform');
	if (E.isLeft(call)) {
		throw new InvalidInputError('table.perform: malformed call');
	}

	if (!isReached()) {
		return {type: 'unavailable', message: 'the peer does not reach the table service'};
	}

	try {
		return {type: 'result', result: await performCall(table, call.right) as JsonValue};
	} catch (error) {
		if (!(error instanceof PlatformError)) {
			throw error;
		}

		return errorResponseOf(error);
	}
};
