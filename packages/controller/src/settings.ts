/**
Settings of a controller process, read from its INI file.
*/
import {
	baseUrlSchema, logSectionSchema, platformSectionSchema, portSchema, processSectionSchema, z,
} from '@poplarnotch/common';

/** Minimum length of the shared secret, in characters. */
const minSecretLength = 16;

/** Sections of the settings file of a controller. */
export const controllerSettingsSchema = z.strictObject({
	process: processSectionSchema,
	listen: z.strictObject({
		host: z.string().min(1).default('127.0.0.1'),
		operatorsPort: portSchema.default(8090),
		operationsPort: portSchema.default(8091),
	}),
	platform: platformSectionSchema,
	operators: z.strictObject({
		/** SHA-256 of the secret of the key `pn_root_…`; absent if that key is not accepted. */
		rootKeyHash: z.string().regex(/^[\da-f]{64}$/v, 'must be a SHA-256 hash in hexadecimal').optional(),
	}),
	peers: z.strictObject({
		/** Secret that all processes of the fleet share. */
		secret: z.string().min(minSecretLength),
		/** Base URLs of some processes' operations ports, separated by commas. The members are requested from them while the table service is down. */
		seeds: z.string().default('').transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))
			.pipe(z.array(baseUrlSchema)),
	}),
	log: logSectionSchema,
});

export type ControllerSettings = z.infer<typeof controllerSettingsSchema>;
