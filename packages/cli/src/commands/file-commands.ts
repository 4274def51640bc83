/**
Commands for settings files: `apply`, `export` and `check`.
*/
import * as E from 'fp-ts/lib/Either.js';
import {
	checkFleetSettings,
	compileFleetSettings,
	diffTrees,
	type Finding,
	type IniDocument,
	iniFromTree,
	parseIni,
	placeInIni,
	type SettingsTree,
	treeFromIni,
} from '@poplarnotch/common';
import {type Command, optionalText, requiredText} from '../command.js';
import {FindingsError} from '../errors.js';
import {changeSettings, readSettings} from '../settings-requests.js';

/** Adds the file and line to the place of a finding about a settings path. */
const locateFinding = (document: IniDocument, finding: Finding): Finding => {
	const end = finding.place.lastIndexOf('/');
	const isEntity = document.sections.has(finding.place);
	const section = isEntity ? finding.place : finding.place.slice(0, end);
	const key = isEntity ? undefined : finding.place.slice(end + 1);
	return {
		...finding,
		place: `${placeInIni(document, section, key)} ${finding.place}`,
	};
};

const findTreeErrors = (tree: SettingsTree): readonly Finding[] => {
	const checked = E.chain(checkFleetSettings)(compileFleetSettings(tree, 0));
	return E.isLeft(checked) ? checked.left : [];
};

const throwIfInvalid = (document: IniDocument, findings: readonly Finding[]): void => {
	if (findings.length > 0) {
		throw new FindingsError(findings.map(finding => locateFinding(document, finding)));
	}
};

export const checkCommand: Command = {
	usage: 'check <file>',
	summary: 'Check a file of settings on its own, without a controller',
	async run(context, args) {
		const file = requiredText(args, 'file');
		const document = parseIni(await context.readFile(file), file);
		const tree = treeFromIni(document);
		throwIfInvalid(document, findTreeErrors(tree));
		context.output.show(['file', 'settings'], [{file, settings: tree.size}], {file, settings: tree.size, findings: []});
	},
};

export const applyCommand: Command = {
	usage: 'apply <file>',
	summary: 'Bring the settings to those of a file; settings that the file does not name stay, unless --prune',
	declare: yargs => yargs.option('prune', {
		type: 'boolean',
		default: false,
		describe: 'Remove settings that the file does not name',
	}),
	async run(context, args) {
		const file = requiredText(args, 'file');
		const document = parseIni(await context.readFile(file), file);
		const fileTree = treeFromIni(document);
		const {tree, revision} = await readSettings(context);
		const target = args.prune === true ? fileTree : new Map([...tree, ...fileTree]);
		throwIfInvalid(document, findTreeErrors(target));
		const edits = diffTrees(tree, target);
		if (edits.length === 0) {
			context.output.progress(`revision ${revision} has these settings already`);
			return;
		}

		await changeSettings(context, edits, revision);
	},
};

export const exportCommand: Command = {
	usage: 'export [prefix]',
	summary: 'Print the settings under a path as an INI file',
	async run(context, args) {
		const {tree} = await readSettings(context, optionalText(args, 'prefix'));
		context.output.text(iniFromTree(tree));
	},
};
