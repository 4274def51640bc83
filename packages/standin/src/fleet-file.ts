/**
Reads a fleet's hosts from its INI settings file, so that the stand-ins serve the hosts that the settings define.
*/
import {readFile} from 'node:fs/promises';
import * as E from 'fp-ts/lib/Either.js';
import {
	compileFleetSettings, type FleetSettings, formatFinding, InvalidInputError, parseIni, treeFromIni,
} from '@poplarnotch/common';
import {type BackendServerOptions} from './backends/backend-pool.js';

/** Reads a fleet's settings. Throws `InvalidInputError` with all findings if they are invalid. */
export const readFleetFile = async (fileName: string): Promise<FleetSettings> => {
	const document = parseIni(await readFile(fileName, 'utf8'), fileName);
	const compiled = compileFleetSettings(treeFromIni(document), 0);
	if (E.isLeft(compiled)) {
		throw new InvalidInputError(compiled.left.map(formatFinding).join('\n'));
	}

	return compiled.right;
};

/** Returns a backend server for the address of each of the fleet's hosts. */
export const backendServersOf = (settings: FleetSettings): readonly BackendServerOptions[] =>
	[...settings.hosts].map(([host, {address, pool}]) => ({
		host,
		port: Number(new URL(address).port),
		slots: settings.pools.get(pool)?.slotsPerServer,
	}));
