/**
Describes waves with the same result on every controller. Only the controller that holds the lease probes the hosts, so only it knows which of them serve and what blocks a wave. The others request the descriptions from it, and fall back on the rows in the table service.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	formatFinding, InvalidInputError, type JsonObject, type JsonValue, parseWith, PoplarnotchError, z,
} from '@poplarnotch/common';
import {
	type Member, type PeerDirectory, type RpcClient, type RpcMethods,
} from '@poplarnotch/state';
import {type WaveDescriber} from '../operators/wave-routes.js';

/** The describer of this controller. `isActive` is true while this controller holds the lease and probes the hosts. */
export interface LocalWaveDescriber extends WaveDescriber {
	readonly isActive: boolean;
}

const planMethod = 'waves.plan';
const progressMethod = 'waves.progress';

const parametersSchema = z.object({wave: z.string()});

const descriptionSchema = z.record(z.string(), z.json());

type Describe = (wave: string) => Promise<JsonObject | undefined>;

const parseWave = (parameters: unknown): string => {
	const parsed = parseWith(parametersSchema, parameters, 'parameters');
	if (E.isLeft(parsed)) {
		throw new InvalidInputError(parsed.left.map(formatFinding).join('; '));
	}

	return parsed.right.wave;
};

/** RPC methods for the other controllers' requests; a controller without the lease returns `false`. */
export const waveMethods = (local: LocalWaveDescriber): RpcMethods => {
	const handleRequest = async (parameters: unknown, describe: Describe): Promise<JsonValue> => {
		const wave = parseWave(parameters);
		return local.isActive ? (await describe(wave)) ?? false : false;
	};

	return {
		[planMethod]: async parameters => handleRequest(parameters, async wave => local.describePlan(wave)),
		[progressMethod]: async parameters => handleRequest(parameters, async wave => local.describeProgress(wave)),
	};
};

/** Dependencies of `WaveDescriptions`. */
export type WaveDescriptionsOptions = {
	readonly local: LocalWaveDescriber;
	readonly processId: string;
	readonly directory: PeerDirectory;
	readonly client: RpcClient;
};

/** Describes waves with the state of the controller that holds the lease. */
export class WaveDescriptions implements WaveDescriber {
	readonly #options: WaveDescriptionsOptions;

	constructor(options: WaveDescriptionsOptions) {
		this.#options = options;
	}

	async describePlan(wave: string): Promise<JsonObject | undefined> {
		return this.#describe(planMethod, wave, async () => this.#options.local.describePlan(wave));
	}

	async describeProgress(wave: string): Promise<JsonObject | undefined> {
		return this.#describe(progressMethod, wave, async () => this.#options.local.describeProgress(wave));
	}

	async #describe(method: string, wave: string, describeLocally: () => Promise<JsonObject | undefined>): Promise<JsonObject | undefined> {
		if (this.#options.local.isActive) {
			return describeLocally();
		}

		const responses = await Promise.all(this.#otherControllers().map(async controller => this.#queryController(controller, method, wave)));
		return responses.find(response => response !== undefined) ?? describeLocally();
	}

	#otherControllers(): readonly Member[] {
		const members = this.#options.directory.members() ?? [];
		return members.filter(member => member.role === 'controller' && member.processId !== this.#options.processId);
	}

	async #queryController(controller: Member, method: string, wave: string): Promise<JsonObject | undefined> {
		try {
			const response = await this.#options.client.call(controller.operationsUrl, method, {wave});
			const parsed = parseWith(descriptionSchema, response, controller.processId);
			return E.isRight(parsed) ? parsed.right : undefined;
		} catch (error) {
			// If a controller does not respond, the description falls back on the table service.
			if (error instanceof PoplarnotchError) {
				return undefined;
			}

			throw error;
		}
	}
}
