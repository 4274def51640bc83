/**
Wave rows: `control/waves/{waveId}` holds which machines have been maintained, written by the holder of the scheduler's lease.
*/
import * as E from 'fp-ts/lib/Either.js';
import {parseWith, z} from '@poplarnotch/common';
import {type RowChange} from '@poplarnotch/platform';

/** Prefix of the rows, other than job rows, that the processes share. */
export const controlPrefix = 'control/';

const wavesPrefix = `${controlPrefix}waves/`;

export const waveKey = (waveId: number): string => `${wavesPrefix}${waveId}`;

const waveProgressSchema = z.object({maintained: z.array(z.string()), isCompleted: z.boolean()});

export type WaveProgress = {
	readonly waveId: number;
	readonly maintained: readonly string[];
	readonly isCompleted: boolean;
};

/** Decodes a changed row; returns `undefined` if it is not a wave row or cannot be read. */
export const waveChangeFrom = ({key, value}: RowChange): WaveProgress | undefined => {
	if (!key.startsWith(wavesPrefix)) {
		return undefined;
	}

	const progress = parseWith(waveProgressSchema, value, key);
	const waveId = Number(key.slice(wavesPrefix.length));
	return E.isRight(progress) && Number.isInteger(waveId) ? {waveId, ...progress.right} : undefined;
};
