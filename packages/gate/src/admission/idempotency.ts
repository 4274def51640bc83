/**
Determines which requests may be repeated safely.
*/
import {type Queue} from '@poplarnotch/common';

/** Methods that are idempotent in every queue (RFC 9110, section 9.2.2). */
const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

/** Returns true if the method may be repeated in the queue. An unknown queue adds no methods. */
export const isIdempotentIn = (queue: Queue | undefined, method: string): boolean =>
	idempotentMethods.has(method) || (queue?.idempotentMethods as readonly string[] | undefined)?.includes(method) === true;
