/**
Messages that the holder of a lease and its successors exchange in datagrams, and what follows from them.
*/
import {z} from '@poplarnotch/common';

const senderFields = {
	/** Identifies the sending process. */
	processId: z.string(),
	/** Number of the sender's run; a later run of the same process has a higher number. */
	incarnation: z.number(),
	/** Number of the datagram within the sender's run. */
	sequence: z.number(),
	/** How long the sender has been running. */
	uptimeMs: z.number(),
	/** Fencing token of the holder that the message is about; 0 if the sender knows of none. */
	token: z.number(),
};

export const livenessMessageSchema = z.discriminatedUnion('type', [
	/** The sender holds the lease. */
	z.object({type: z.literal('heartbeat'), ...senderFields}),
	/** How long ago the sender last heard from the holder. */
	z.object({type: z.literal('report'), ...senderFields, silenceMs: z.number()}),
	/** The sender has released the lease. */
	z.object({type: z.literal('released'), ...senderFields}),
]);

export type LivenessMessage = z.infer<typeof livenessMessageSchema>;

/** A process that is ready to take over the lease at any time. */
export type Successor = {
	readonly processId: string;
	readonly cpuMillicores: number;
};

/** What a process knows of itself and its peers at one moment. */
export type LivenessSituation = {
	readonly nowMs: number;
	/** Fencing token of the lease that this process holds. */
	readonly heldToken: number | undefined;
	/** The likely successors, which may include this process and the holder. */
	readonly successors: readonly Successor[];
};

export type LivenessEffect
	= | {readonly type: 'send'; readonly to: string; readonly message: LivenessMessage}
	/** The holder with this token seems to be lost; `reporters` are the successors that do not hear it either. */
		| {readonly type: 'suspect'; readonly token: number; readonly silenceMs: number; readonly reporters: readonly string[]}
	/** The suspected holder was heard again. */
		| {readonly type: 'clear'; readonly token: number}
	/** The holder with this token has released the lease. */
		| {readonly type: 'acquireReleased'; readonly token: number}
	/** A process with a higher token than this process's own holds the lease. */
		| {readonly type: 'superseded'; readonly token: number}
	/** A process that held the lease before this one was heard. It is gone if a later run of it was heard. */
		| {readonly type: 'earlierHolderHeard'; readonly isGone: boolean};
