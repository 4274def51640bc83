/**
Rows of waves: `waves/{waveId}` holds which machines have been maintained, written by the holder of the scheduler's lease.
*/
import * as E from 'fp-ts/lib/Either.js';
import {parseWith, z} from '@poplarnotch/common';
import {type RowChange} from '@poplarnotch/platform';

export const wavesPrefix = 'waves/';

const waveProgressSchema = z.object({maintained: z.array(z.string()), isCompleted: z.boolean()});

export type WaveProgress = {
	readonly waveId: number;
	readonly maintained: readonly string[];
	readonly isCompleted: boolean;
};

/** `undefined` where the row cannot be read. */
export const waveChangeFrom = ({key, value}: RowChange): WaveProgress | undefined => {
	const progress = parseWith(waveProgressSchema, value, key);
	const waveId = Number(key.slice(wavesPrefix.length));
	return E.isRight(progress) && Number.isInteger(waveId) ? {waveId, ...progress.right} : undefined;
};
