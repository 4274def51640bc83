/**
What pool sizing and maintenance waves ask about the demand of each pool. The load behind it: queues burst in turn for some seconds, and a machine that is moved only when tasks find no room arrives 1.5 s late.
*/
import {BurstForecast} from './burst-forecast.js';
import {type Arrival, DemandMeter} from './demand-meter.js';

/** Values of the setting `poolForecast`. */
export const poolForecastNames = ['recent-arrivals', 'bursts'] as const;

export type PoolForecastName = typeof poolForecastNames[number];

/** A burst's size: CPU capacity that its arrivals ask for at the peak, and its length; 0 if unknown. */
export type BurstSize = {
	readonly peakMillicores: number;
	readonly lengthMs: number;
};

/** The begin of a burst, or its end if `actual` is given. */
export type BurstChange = {
	readonly pool: string;
	readonly expected: BurstSize;
	readonly actual: BurstSize | undefined;
};

export type DemandForecast = {
	/** By how much the last expected peak was off, in percent of the actual one. */
	readonly errorPercent: number;
	recordArrival(arrival: Arrival): void;
	/** Called once a round, with the pools that have more ready work than room. Returns the bursts that have begun or ended since the last call. */
	advance(nowMs: number, lackingRoom: ReadonlySet<string>): readonly BurstChange[];
	/** Forgets what is in progress; called at the begin of a term, since the rounds before it were not seen. */
	restart(): void;
	/** Returns the CPU capacity for which the pool should be sized. */
	demandMillicores(pool: string, nowMs: number): number;
	/** Returns false while nothing is known of what queues ask for, so that no pool can be told to be larger than it needs to be. */
	isDemandKnown(nowMs: number): boolean;
	isInBurst(pool: string): boolean;
	/** Returns true if a machine that is moved to the pool now would arrive only for the end of its burst. */
	isBurstEnding(pool: string, nowMs: number): boolean;
	/** Returns true if the pool's burst has just ended, so that its idle machines are the first to move to another pool. */
	isBurstOver(pool: string, nowMs: number): boolean;
};

export const createDemandForecast = (name: PoolForecastName): DemandForecast => name === 'bursts' ? new BurstForecast() : new DemandMeter();
