/**
What counts as a disruption of a simulated process, by the platform's rules: its processor or its path to the store is harmed. A planned stop is none, and neither is a store that only takes its time, or a process that has used its quota of processor time for the moment.
*/
import {type TableFaults} from './fake-table.js';
import {type HostClock} from './host-clock.js';

/** Longest duration of a call to a store that counts as undisturbed. */
const maxCalmLatencyMs = 250;

const isStoreDisrupted = ({isDown, isSilent, areReadsRefused, lostAnswerRate, latencyMs, isRejected}: TableFaults): boolean =>
	isDown || isSilent === true || areReadsRefused === true || lostAnswerRate > 0 || latencyMs > maxCalmLatencyMs || isRejected !== undefined;

export const isDisrupted = ({clock, table}: {readonly clock: HostClock; readonly table: TableFaults}): boolean =>
	!clock.isDead && (clock.isHarmed || isStoreDisrupted(table));
