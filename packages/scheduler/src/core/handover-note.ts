/**
The note that a lease holder writes into the lease as it releases it.
*/
import {z} from '@poplarnotch/common';

export const handoverNoteSchema = z.object({
	/** Workers on which a start may still be carried out, and for how much longer. */
	openStarts: z.array(z.object({workerId: z.string(), forMs: z.number()})),
	/** For how much longer a start may be carried out that the list does not name; 0 if it names all. */
	unknownForMs: z.number(),
});

export type HandoverNote = z.infer<typeof handoverNoteSchema>;
