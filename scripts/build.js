/**
Bundles each binary into one file under `dist/`, or only those that are named, into the folder that `--out` names.
*/
import {chmod} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {build} from 'esbuild';

/**
Flags that keep the heap of a long-running process small: V8 otherwise lets the young generation grow to 16 MB a half, which a gate at rest fills with garbage before it collects.
*/
const daemonFlags = '--max-semi-space-size=2 --optimize-for-size';

const binaries = [
	{name: 'poplarnotch-gate', entryPoint: 'packages/gate/src/main.ts', nodeFlags: daemonFlags},
	{name: 'poplarnotch-controller', entryPoint: 'packages/controller/src/main.ts', nodeFlags: daemonFlags},
	{name: 'poplarnotch-entry', entryPoint: 'packages/entry/src/main.ts', nodeFlags: daemonFlags},
	{name: 'poplarnotch', entryPoint: 'packages/cli/src/main.ts', nodeFlags: ''},
	{name: 'poplarnotch-standin', entryPoint: 'packages/standin/src/main.ts', nodeFlags: ''},
];

const {values: options, positionals: namedBinaries} = parseArgs({
	options: {out: {type: 'string', default: 'dist'}},
	allowPositionals: true,
});

const isWanted = ({name}) => namedBinaries.length === 0 || namedBinaries.includes(name);

const shebang = nodeFlags => nodeFlags === '' ? '#!/usr/bin/env node' : `#!/usr/bin/env -S node ${nodeFlags}`;

// Bundled CommonJS dependencies call `require`, which an ES module does not have.
const banner = nodeFlags => [
	shebang(nodeFlags),
	'import {createRequire as createBundleRequire} from \'node:module\';',
	'const require = createBundleRequire(import.meta.url);',
].join('\n');

/**
Leaves out the schema library's translated messages: findings are in English, and the tables cost each process a sixth of its code.
*/
const withoutTranslations = {
	name: 'without-translations',
	setup({onLoad}) {
		onLoad({filter: /zod.v4.locales.index\.js$/}, args => ({ // eslint-disable-line require-unicode-regexp -- esbuild reads Go's syntax and no flags
			contents: 'export {default as en} from "./en.js";',
			resolveDir: path.dirname(args.path),
		}));
	},
};

const executableMode = 0o755;

const buildBinary = async ({name, entryPoint, nodeFlags}) => {
	const outfile = path.join(options.out, `${name}.mjs`);
	await build({
		entryPoints: [entryPoint],
		outfile,
		bundle: true,
		platform: 'node',
		target: 'node20',
		format: 'esm',
		minify: true,
		keepNames: true,
		plugins: [withoutTranslations],
		banner: {js: banner(nodeFlags)},
		// Optional dependencies of bunyan that it loads only where they are installed.
		external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
		logLevel: 'warning',
	});
	await chmod(outfile, executableMode);
};

try {
	await Promise.all(binaries.filter(isWanted).map(buildBinary));
} catch {
	process.exitCode = 1;
}
