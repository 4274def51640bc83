/**
Reads and encodes the rows `waves/{wave}` of the table service.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	formatFinding, type JsonValue, type Logger, parseWith,
} from '@poplarnotch/common';
import {type Row, type TableService} from '@poplarnotch/platform';
import {type StoredWave, waveProgressSchema, type WaveProgress} from '../fleet/types.js';

const prefix = 'waves/';

/** Returns the key of a wave's row. */
export const waveKey = (wave: string): string => `${prefix}${wave}`;

/** Encodes a wave's progress as the value of its row. */
export const waveToJson = (progress: WaveProgress): JsonValue => progress;

const readRow = (row: Row, logger: Logger): readonly StoredWave[] => {
	const parsed = parseWith(waveProgressSchema, row.value, row.key);
	if (E.isLeft(parsed)) {
		logger.error({event: 'wave_row_not_understood', key: row.key, reason: parsed.left.map(formatFinding).join('; ')});
		return [];
	}

	return [{progress: parsed.right, version: row.version}];
};

/** Reads all waves. A row that does not match the schema is logged and left out. Its wave does not proceed, because its progress cannot be saved over the row. */
export const readWaves = async (table: TableService, logger: Logger): Promise<readonly StoredWave[]> => {
	const waves: StoredWave[] = [];
	let afterKey: string | undefined;
	for (;;) {
		const page = await table.readPrefix(prefix, afterKey === undefined ? {} : {afterKey});
		waves.push(...page.rows.flatMap(row => readRow(row, logger)));
		afterKey = page.rows.at(-1)?.key;
		if (!page.hasMore || afterKey === undefined) {
			return waves;
		}
	}
};
