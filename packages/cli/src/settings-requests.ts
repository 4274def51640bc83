/**
Requests on settings that several commands share: reading a part of the tree, changing it and waiting until a change is in force.
*/
import {
	type JsonObject, type SettingsEdit, type SettingsTree,
} from '@poplarnotch/common';
import {
	type ChangeEdit, changeResponseSchema, type InForceResponse, inForceResponseSchema, settingsResponseSchema,
} from './api-types.js';
import {type CommandContext} from './context.js';
import {NotInForceError} from './errors.js';
import {type TableRow} from './output.js';

/** Interval at which the in-force report of a change is polled. */
const inForcePollIntervalMs = 100;

/** A part of the tree with the revision at which it was read. */
export type SettingsAtRevision = {
	readonly revision: number;
	readonly tree: SettingsTree;
};

/** Reads the settings under a prefix. */
export const readSettings = async (context: CommandContext, prefix = '/'): Promise<SettingsAtRevision> => {
	const response = await context.client.call(settingsResponseSchema, {
		method: 'GET',
		path: `/v1/settings?prefix=${encodeURIComponent(prefix)}`,
	});
	return {revision: response.revision, tree: new Map(Object.entries(response.settings as JsonObject))};
};

const toWireEdit = (edit: SettingsEdit): JsonObject =>
	edit.value === undefined ? {path: edit.path} : {path: edit.path, value: edit.value};

const editRow = (edit: ChangeEdit): TableRow => ({
	path: edit.path,
	value: edit.value === undefined ? '(removed)' : edit.value,
});

const waitForNextPoll = async (context: CommandContext): Promise<void> => new Promise(resolve => {
	context.clock.schedule(inForcePollIntervalMs, resolve);
});

const fetchInForce = async (context: CommandContext, revision: number): Promise<InForceResponse> =>
	context.client.call(inForceResponseSchema, {method: 'GET', path: `/v1/in-force?revision=${revision}`});

const laggingProcesses = (response: InForceResponse, revision: number): readonly string[] => response.processes
	.filter(member => (member.revision ?? 0) < revision)
	.map(member => member.processId);

/** Waits until the revision is in force on every live process. If the wait times out, the error lists the processes that lag. */
export const waitUntilInForce = async (context: CommandContext, revision: number): Promise<void> => {
	const deadlineMs = context.clock.nowMs() + context.change.waitTimeoutMs;
	for (;;) {
		const response = await fetchInForce(context, revision);
		if (response.isInForce) {
			context.output.progress(`revision ${revision} is in force on ${response.processes.length} processes`);
			return;
		}

		const lagging = laggingProcesses(response, revision);
		if (context.clock.nowMs() >= deadlineMs) {
			throw new NotInForceError(`revision ${revision} is accepted but not yet in force on: ${lagging.join(', ')}`);
		}

		context.output.progress(`waiting for revision ${revision} on: ${lagging.join(', ')}`);
		await waitForNextPoll(context);
	}
};

/** Shows the edits of a change. For a dry run, `revision` is `undefined`. */
export type ShowEdits = (edits: readonly ChangeEdit[], revision: number | undefined) => void;

const showEditsOn = (context: CommandContext): ShowEdits => (edits, revision) => {
	context.output.show(['path', 'value'], edits.map(editRow), {revision, edits});
};

/** Sends a change based on `expectedRevision` and, unless `--wait` is off, waits until it is in force. The result is shown before the wait, so that it is not lost if the wait fails. */
export const changeSettings = async (
	context: CommandContext,
	edits: readonly SettingsEdit[],
	expectedRevision: number,
	showEdits = showEditsOn(context),
): Promise<void> => {
	await sendChange(context, '/v1/changes', {
		edits: edits.map(toWireEdit),
		expectedRevision,
	}, showEdits);
};

/** Sends a change or a rollback, shows its edits and, unless `--wait` is off, waits until it is in force. */
export const sendChange = async (
	context: CommandContext,
	path: string,
	body: JsonObject,
	showEdits = showEditsOn(context),
): Promise<void> => {
	const {change, diff} = await context.client.call(changeResponseSchema, {
		method: 'POST',
		path: context.change.dryRun ? `${path}?dryRun=true` : path,
		body: {changeId: context.newId(), reason: context.change.reason, ...body},
	});
	context.output.progress(change === undefined ? 'dry run: nothing was changed' : `accepted as revision ${change.revision}`);
	showEdits(change?.edits ?? diff ?? [], change?.revision);
	if (change !== undefined && context.change.wait) {
		await waitUntilInForce(context, change.revision);
	}
};
