/**
What counts as a disruption of a simulated process, by the platform's rules: its processor or its path to the store is harmed. A planned stop is none, and neither is a store that only takes its time.
*/
import {type TableFaults} from './fake-table.js';
import {type HostClock} from './host-clock.js';

/** Longest duration of a call to a store that counts as undisturbed. */
const maxCalmLatencyMs = 250;

export const isDisrupted = ({clock, table}: {readonly clock: HostClock; readonly table: TableFaults}): boolean => !clock.isDead
	&& (clock.isFrozen || table.isDown || table.isSilent === true || table.areReadsRefused === true || table.lostAnswerRate > 0 || table.latencyMs > maxCalmLatencyMs || table.isRejected !== undefined);
