/**
Waits for conditions by polling.
*/
import {setTimeout as sleep} from 'node:timers/promises';

const pollIntervalMs = 25;

/** Polls the condition until it is true or the timeout has passed. Resolves to true if the condition became true. */
export const waitUntil = async (condition: () => Promise<boolean>, timeoutMs: number): Promise<boolean> => {
	const deadlineMs = performance.now() + timeoutMs;
	for (;;) {
		if (await condition()) {
			return true;
		}

		if (performance.now() >= deadlineMs) {
			return false;
		}

		await sleep(pollIntervalMs);
	}
};

/** Resolves to true if a GET request to the URL gets a successful status. */
export const respondsOk = async (url: string): Promise<boolean> => {
	try {
		const response = await fetch(url);
		await response.arrayBuffer();
		return response.ok;
	} catch {
		return false;
	}
};
