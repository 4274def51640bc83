/**
The order policies that the setting `--orderPolicy` selects from.
*/
import {LatestStartFirst} from './latest-start-first.js';
import {LikelyInTimeFirst} from './likely-in-time-first.js';
import {type OrderPolicy} from './order-policy.js';

export const orderPolicyNames = ['likely-in-time-first', 'latest-start-first'] as const;
export type OrderPolicyName = typeof orderPolicyNames[number];

export const createOrderPolicy = (name: OrderPolicyName): OrderPolicy =>
	name === 'latest-start-first' ? new LatestStartFirst() : new LikelyInTimeFirst();
