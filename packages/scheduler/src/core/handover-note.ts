/**
The note that a lease holder writes into the lease as it releases it. All times in it are durations, since no two processes share a clock.
*/
import {z} from '@poplarnotch/common';

const taskNumbersSchema = z.record(z.string(), z.array(z.number().int().nonnegative()).readonly());

export const handoverNoteSchema = z.object({
	/** For how much longer a start may be carried out on a worker, by worker id. */
	openStarts: z.record(z.string(), z.number()),
	/** For how much longer a start may be carried out that is not named; 0 if all are. */
	unknownForMs: z.number(),
	/** For how much longer lists of machines may lack a worker that is not named and has started again just before. */
	unlistedForMs: z.number().default(0),
	/** For how much longer runs may go on, by worker id, where the next holder would not count so: on workers that do not answer, which get no leases, and on those that may have been granted a longer one. */
	runsForMs: z.record(z.string(), z.number()).optional(),
	/** The longest such time on workers that are not named, since there are too many. */
	othersRunForMs: z.number().optional(),
	/** Ends that the holder has read and could not store, by job id. */
	ends: z.record(z.string(), z.object({doneTasks: taskNumbersSchema, failures: taskNumbersSchema})).optional(),
});

export type HandoverNote = z.infer<typeof handoverNoteSchema>;
