/**
Events without their times, which tests add from their own clocks.
*/
import {type SchedulerEvent} from '../../src/core/events.js';

export type EventBody = SchedulerEvent extends infer Event ? Event extends SchedulerEvent ? Omit<Event, 'nowMs' | 'wallMs'> : never : never;
