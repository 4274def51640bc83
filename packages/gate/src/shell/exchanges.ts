/**
Accepts callers' requests: checks the head, decides whether the body is held in memory or streamed, and keeps every exchange until it has ended.
*/
import {createHash} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import * as E from 'fp-ts/lib/Either.js';
import {
	type FleetSettings, keyFromAuthorization, type MetricsRegistry, type Problem,
} from '@poplarnotch/common';
import {isIdempotentIn} from '../admission/idempotency.js';
import {type ArrivedRequest, type RequestId} from '../types.js';
import {type CallerRequest, readCallerRequest} from './caller-request.js';
import {Exchange, type ExchangeBody, type ExchangeListener} from './exchange.js';
import {answerWithProblem, bodyTooLarge, heldBodiesFull} from './problems.js';
import {type BodyReceiver, BodyTooLargeError, readWholeBody} from './request-body.js';

export type ExchangeLimits = {
	readonly replayableBodyBytes: number;
	readonly heldBodiesBytes: number;
	readonly maxRequestTimeoutMs: number;
	readonly recordedBodyBytes: number;
};

/** Dependencies of the exchanges and the callbacks to which they report. */
export type ExchangesParts = {
	readonly limits: ExchangeLimits;
	readonly metrics: MetricsRegistry;
	readonly listener: ExchangeListener;
	/** Returns an id that is unique in the whole fleet. */
	nextRequestId(): RequestId;
	settings(): FleetSettings;
	onRequestArrived(arrived: ArrivedRequest): void;
	onCallerGone(requestId: RequestId): void;
};

/** A request whose head was accepted and whose body has not been read yet. */
type PendingRequest = {
	readonly requestId: RequestId;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly head: CallerRequest;
	readonly isClaimed: boolean;
	readonly maxBodyBytes: number;
};

const heldBodiesRetryAfterMs = 1000;

const fingerprintOf = (head: CallerRequest, body: Uint8Array | undefined): string => {
	const hash = createHash('sha256').update(`${head.method} /${head.queue}${head.path}\n`);
	return (body === undefined ? hash : hash.update(body)).digest('hex');
};

/** Bytes reserved for a body that is read whole. */
const reservedBytesOf = ({head, maxBodyBytes}: PendingRequest): number => head.contentLength ?? maxBodyBytes;

/** The exchanges of a gate that have not ended. */
export class Exchanges {
	readonly #parts: ExchangesParts;
	readonly #exchanges = new Map<RequestId, Exchange>();
	#emptyListeners: Array<() => void> = [];
	/** Requests whose body is being read whole. */
	readonly #pendingByRequest = new Map<IncomingMessage, PendingRequest>();
	#heldBytes = 0;
	/** Created once, because closures for each request cost more. */
	readonly #bodyReceiver: BodyReceiver<PendingRequest> = {
		onComplete: (pending, bytes) => {
			this.#pendingByRequest.delete(pending.request);
			this.#heldBytes += bytes.length - reservedBytesOf(pending);
			this.#openExchange(pending, {type: 'held', bytes});
		},
		onFailed: (pending, error) => {
			this.#pendingByRequest.delete(pending.request);
			this.#heldBytes -= reservedBytesOf(pending);
			if (error instanceof BodyTooLargeError) {
				this.#refuse(pending.response, bodyTooLarge(pending.maxBodyBytes), pending.requestId);
			}
		},
	};

	constructor(parts: ExchangesParts) {
		this.#parts = parts;
	}

	get size(): number {
		return this.#exchanges.size;
	}

	get heldBytes(): number {
		return this.#heldBytes;
	}

	get(requestId: RequestId): Exchange | undefined {
		return this.#exchanges.get(requestId);
	}

	values(): IterableIterator<Exchange> {
		return this.#exchanges.values();
	}

	/** Removes an exchange that has ended and releases the memory reserved for its body. */
	remove(exchange: Exchange): void {
		if (this.#exchanges.delete(exchange.requestId)) {
			this.#heldBytes -= exchange.heldBytes;
			if (this.#exchanges.size === 0) {
				this.#notifyEmpty();
			}
		}
	}

	/** Resolves when no exchange is open. */
	async waitUntilEmpty(): Promise<void> {
		if (this.#exchanges.size > 0) {
			await new Promise<void>(resolve => {
				this.#emptyListeners.push(resolve);
			});
		}
	}

	/** Answers a request with a problem if the rest of its body cannot be read. */
	failBody(request: IncomingMessage, problem: Problem): void {
		const pending = this.#pendingByRequest.get(request);
		if (pending !== undefined) {
			// The answer closes the connection, which also ends the reading of the body.
			this.#refuse(pending.response, problem, pending.requestId);
			return;
		}

		for (const exchange of this.#exchanges.values()) {
			if (exchange.belongsTo(request)) {
				this.#failExchange(exchange, problem);
				return;
			}
		}
	}

	/** Accepts or refuses one request. */
	accept(request: IncomingMessage, response: ServerResponse): void {
		const requestId = this.#parts.nextRequestId();
		const read = readCallerRequest(request, this.#parts.limits.maxRequestTimeoutMs);
		if (E.isLeft(read)) {
			this.#refuse(response, read.left, requestId);
			return;
		}

		const head = read.right;
		const queue = this.#parts.settings().queues.get(head.queue);
		const maxBodyBytes = queue?.maxBodyBytes ?? 0;
		if (queue !== undefined && (head.contentLength ?? 0) > maxBodyBytes) {
			this.#refuse(response, bodyTooLarge(maxBodyBytes), requestId);
			return;
		}

		const isClaimed = queue !== undefined && head.idempotencyKey !== undefined && !isIdempotentIn(queue, head.method);
		this.#acceptBody({
			requestId, request, response, head, isClaimed, maxBodyBytes,
		});
	}

	#notifyEmpty(): void {
		const listeners = this.#emptyListeners;
		this.#emptyListeners = [];
		for (const listener of listeners) {
			listener();
		}
	}

	#acceptBody(pending: PendingRequest): void {
		const {head, isClaimed, maxBodyBytes} = pending;
		if (head.contentLength === 0) {
			this.#openExchange(pending, {type: 'none'});
			return;
		}

		if (isClaimed || (head.contentLength !== undefined && head.contentLength <= this.#parts.limits.replayableBodyBytes)) {
			this.#holdBody(pending);
			return;
		}

		this.#openExchange(pending, {type: 'streamed', maxBytes: maxBodyBytes});
	}

	#holdBody(pending: PendingRequest): void {
		const {request, response, requestId} = pending;
		const reservedBytes = reservedBytesOf(pending);
		if (this.#heldBytes + reservedBytes > this.#parts.limits.heldBodiesBytes) {
			this.#refuse(response, heldBodiesFull(heldBodiesRetryAfterMs), requestId);
			return;
		}

		this.#heldBytes += reservedBytes;
		this.#pendingByRequest.set(request, pending);
		readWholeBody(request, reservedBytes, this.#bodyReceiver, pending);
	}

	#openExchange(pending: PendingRequest, body: ExchangeBody): void {
		const {requestId, request, response, head, isClaimed} = pending;
		const exchange = new Exchange({
			requestId,
			request,
			response,
			head,
			body,
			recordedBodyBytes: isClaimed ? this.#parts.limits.recordedBodyBytes : undefined,
			listener: this.#parts.listener,
		});
		if (response.destroyed) {
			this.#heldBytes -= exchange.heldBytes;
			return;
		}

		this.#exchanges.set(requestId, exchange);
		response.once('close', () => {
			if (this.#exchanges.get(requestId) === exchange && !response.writableFinished) {
				this.#parts.onCallerGone(requestId);
			}
		});
		this.#parts.onRequestArrived({
			requestId,
			queue: head.queue,
			method: head.method,
			presentedKey: keyFromAuthorization(request.headers.authorization),
			idempotencyKey: isClaimed ? head.idempotencyKey : undefined,
			fingerprint: isClaimed ? fingerprintOf(head, body.type === 'held' ? body.bytes : undefined) : undefined,
			timeoutMs: head.timeoutMs,
			isReplayable: body.type !== 'streamed',
		});
	}

	#failExchange(exchange: Exchange, problem: Problem): void {
		if (exchange.hasAttempt) {
			exchange.failBody(problem);
			return;
		}

		this.#parts.onCallerGone(exchange.requestId);
		this.remove(exchange);
		exchange.refuse(problem);
	}

	#refuse(response: ServerResponse, problem: Problem, requestId: RequestId): void {
		this.#parts.metrics.increment(`requests_refused_${problem.type.replaceAll('-', '_')}_total`);
		answerWithProblem(response, problem, requestId);
	}
}
