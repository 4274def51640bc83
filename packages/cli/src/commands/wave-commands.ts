/**
Commands for maintenance waves. A wave is defined by settings under `/waves/{wave}/`. These commands change its settings, of which `state` is the requested state, and show its plan and progress.
*/
import {settingFromText} from '@poplarnotch/common';
import {anyResponseSchema} from '../api-types.js';
import {type Command, requiredText} from '../command.js';
import {RequestRefusedError} from '../errors.js';
import {changeSettings, readSettings} from '../settings-requests.js';
import {showFields} from './show-fields.js';

const createStateCommand = (name: string, state: string, summary: string): Command => ({
	usage: `${name} <wave>`,
	summary,
	async run(context, args) {
		const wave = requiredText(args, 'wave');
		const {revision} = await readSettings(context, `/waves/${wave}/`);
		await changeSettings(context, [{path: `/waves/${wave}/state`, value: state}], revision);
	},
});

const createShowCommand = (name: string, summary: string, pathOf: (wave: string) => string): Command => ({
	usage: `${name} <wave>`,
	summary,
	async run(context, args) {
		const path = pathOf(encodeURIComponent(requiredText(args, 'wave')));
		showFields(context, await context.client.call(anyResponseSchema, {method: 'GET', path}));
	},
});

export const waveCreateCommand: Command = {
	usage: 'create <wave>',
	summary: 'Define a wave; it begins with "wave start"',
	declare: yargs => yargs
		.option('pools', {type: 'string', demandOption: true, describe: 'Pools to maintain, separated by commas'})
		.option('change', {type: 'string', demandOption: true, describe: 'Name of the change that is applied to each host'}),
	async run(context, args) {
		const base = `/waves/${requiredText(args, 'wave')}`;
		const {tree, revision} = await readSettings(context, `${base}/`);
		if (tree.size > 0) {
			throw new RequestRefusedError(`wave "${requiredText(args, 'wave')}" exists already`);
		}

		await changeSettings(context, [
			{path: `${base}/pools`, value: settingFromText(`${base}/pools`, requiredText(args, 'pools'))},
			{path: `${base}/change`, value: requiredText(args, 'change')},
		], revision);
	},
};

export const wavePlanCommand = createShowCommand('plan', 'Show the batches of a wave before anything starts', wave => `/v1/waves/${wave}/plan`);
export const waveStatusCommand = createShowCommand('status', 'Show the progress of a wave', wave => `/v1/waves/${wave}`);
export const waveStartCommand = createStateCommand('start', 'running', 'Start a planned wave');
export const wavePauseCommand = createStateCommand('pause', 'paused', 'Pause a wave, which then takes no further hosts');
export const waveResumeCommand = createStateCommand('resume', 'running', 'Resume a paused wave');
export const waveAbortCommand = createStateCommand('abort', 'aborted', 'End a wave; the hosts that it works on are returned to service');
