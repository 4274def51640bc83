/**
Routes for maintenance waves: the plan and the progress of a wave.
*/
import {type JsonObject} from '@poplarnotch/common';
import {notFound} from './problems.js';
import {type OperatorsResponse, type OperatorsRoute} from './types.js';

/** Describes waves; the methods return `undefined` if there is no such wave. */
export interface WaveDescriber {
	describePlan(wave: string): Promise<JsonObject | undefined>;
	describeProgress(wave: string): Promise<JsonObject | undefined>;
}

const toResponse = (wave: string, body: JsonObject | undefined): OperatorsResponse =>
	body === undefined ? notFound(`No wave "${wave}" is known here`) : {type: 'ok', body};

/** Creates the routes for waves. */
export const waveRoutes = (waves: WaveDescriber): readonly OperatorsRoute[] => [
	{
		method: 'GET',
		pattern: /^\/v1\/waves\/(?<wave>[^\/]+)\/plan$/v,
		handle: async ({parameters}) => toResponse(parameters.wave!, await waves.describePlan(parameters.wave!)),
	},
	{
		method: 'GET',
		pattern: /^\/v1\/waves\/(?<wave>[^\/]+)$/v,
		handle: async ({parameters}) => toResponse(parameters.wave!, await waves.describeProgress(parameters.wave!)),
	},
];
