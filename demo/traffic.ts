/**
Sends requests to the gates and counts the responses.
*/
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';

/** Request that a caller sends to a gate. */
export type CallerRequest = {
	readonly gateUrl: string;
	readonly queue: string;
	readonly path: string;
	readonly key: string;
	readonly method?: 'GET' | 'POST';
	readonly idempotencyKey?: string;
	readonly runKey?: string;
};

/** Response that a caller received. */
export type CallerAnswer = {
	readonly status: number;
	readonly body: string;
	/** True if the connection failed before the response was complete. */
	readonly isAborted: boolean;
};

const headersOf = (request: CallerRequest): Record<string, string> => ({
	authorization: `Bearer ${request.key}`,
	...(request.idempotencyKey === undefined ? {} : {'idempotency-key': request.idempotencyKey}),
	...(request.runKey === undefined ? {} : {'x-run-key': request.runKey}),
});

/** Sends one request. A failure is reported as status 0; the function never throws. */
export const sendRequest = async (request: CallerRequest): Promise<CallerAnswer> => {
	const method = request.method ?? 'GET';
	try {
		const response = await fetch(`${request.gateUrl}/q/${request.queue}${request.path}`, {
			method,
			headers: headersOf(request),
			...(method === 'POST' ? {body: JSON.stringify({draw: request.idempotencyKey})} : {}),
		});
		return {status: response.status, body: await response.text(), isAborted: false};
	} catch (error) {
		return {status: 0, body: String(error), isAborted: true};
	}
};

/** Result of steady traffic. */
export type TrafficReport = {
	readonly sent: number;
	readonly completed: number;
	/** The first response whose status was not 200. */
	readonly firstFailure: CallerAnswer | undefined;
};

/** Closed-loop load: several concurrent clients each send the next request as soon as the previous one is answered, until the traffic is stopped. After a failure a client waits 10 ms. */
export class SteadyTraffic {
	readonly #clients: ReadonlyArray<Promise<void>>;
	#isStopped = false;
	#sent = 0;
	#completed = 0;
	#firstFailure: CallerAnswer | undefined;

	constructor(gateUrls: readonly string[], clientCount: number, template: Omit<CallerRequest, 'gateUrl'>) {
		this.#clients = Array.from({length: clientCount}, async (_value, index) =>
			this.#runClient(gateUrls[index % gateUrls.length]!, template));
	}

	get sent(): number {
		return this.#sent;
	}

	/** Stops the clients after their requests in flight have been answered. */
	async stop(): Promise<TrafficReport> {
		this.#isStopped = true;
		await Promise.all(this.#clients);
		return {sent: this.#sent, completed: this.#completed, firstFailure: this.#firstFailure};
	}

	async #runClient(gateUrl: string, template: Omit<CallerRequest, 'gateUrl'>): Promise<void> {
		while (!this.#isStopped) {
			const isPost = template.method === 'POST';
			const answer = await sendRequest({...template, gateUrl, ...(isPost ? {idempotencyKey: randomUUID(), runKey: randomUUID()} : {})});
			this.#sent++;
			if (answer.status === 200) {
				this.#completed++;
			} else {
				this.#firstFailure ??= answer;
				await sleep(10);
			}
		}
	}
}
