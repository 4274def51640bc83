/**
Bundles each binary into a single file that names its build. Arguments select binaries by name (default: all); `--out` sets the target folder (default: `dist`).
*/
import {execFile} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync} from 'node:fs';
import {chmod, readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {parseArgs, promisify} from 'node:util';
import {build} from 'esbuild';

/**
Node flags that keep the heap of a long-running process small. By default V8 lets each semi-space of the young generation grow to 16 MB, which an idle gate fills with garbage before the next collection.
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
Excludes the translated messages of the schema library. Findings are in English, and the translations would make up a sixth of each process's code.
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

const idLength = 12;

/** Returns a hash of all packages' sources and of the list of their dependencies. */
const sourcesHash = async () => {
	const entries = await readdir('packages', {recursive: true, withFileTypes: true});
	const files = entries.filter(entry => entry.isFile() && entry.name.endsWith('.ts')).map(entry => path.join(entry.parentPath ?? entry.path, entry.name));
	const sources = files.filter(file => file.split(path.sep)[2] === 'src');
	const hash = createHash('sha256');
	for (const file of ['package-lock.json', ...sources.toSorted()]) {
		hash.update(`${file}\n`).update(await readFile(file));
	}

	return `src-${hash.digest('hex').slice(0, idLength)}`;
};

/** Returns the commit, marked if files differ from it. A folder above that is a repository says nothing of these sources. */
const findBuildId = async () => {
	if (existsSync('.git')) {
		try {
			const {stdout} = await promisify(execFile)('git', ['describe', '--always', '--dirty', '--exclude=*', `--abbrev=${idLength}`]);
			return stdout.trim();
		} catch {
			// There may be a folder without the program.
		}
	}

	return sourcesHash();
};

const buildBinary = async ({name, entryPoint, nodeFlags}, buildId) => {
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
		define: {POPLARNOTCH_BUILD: JSON.stringify(buildId)},
		plugins: [withoutTranslations],
		banner: {js: banner(nodeFlags)},
		// Optional dependencies of bunyan, which loads them only if they are installed.
		external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
		logLevel: 'warning',
	});
	await chmod(outfile, executableMode);
};

try {
	const buildId = await findBuildId();
	await Promise.all(binaries.filter(isWanted).map(async binary => buildBinary(binary, buildId)));
} catch {
	process.exitCode = 1;
}
