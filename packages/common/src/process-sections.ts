/**
Schemas of the sections that the settings files of all daemons share.
*/
import {logLevels} from './log.js';
import {baseUrlSchema, segmentSchema, z} from './schema.js';

/** A TCP port; 0 lets the system choose. */
export const portSchema = z.number().int().min(0).max(65_535);

/** `[process]`: identity and location of the process. */
export const processSectionSchema = z.strictObject({
	/** Stable name of this process; no other process of the fleet may use it. */
	id: segmentSchema,
	/** Name of the entry host on which the process runs. */
	host: segmentSchema,
	region: segmentSchema.default('region-1'),
	dataCentre: segmentSchema,
});

/** `[platform]`: address of the platform. */
export const platformSectionSchema = z.strictObject({
	url: baseUrlSchema,
});

/** `[log]`. */
export const logSectionSchema = z.strictObject({
	level: z.enum(logLevels).default('info'),
});
