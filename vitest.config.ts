import {existsSync, readFileSync} from 'node:fs';
import {defineConfig} from 'vitest/config';

/** Lists the tests in KNOWN-RED.txt, one line `test: NAME` each. They are left out of a run, unless `-t` names them. */
const knownRedTests = (): readonly string[] => {
	const text = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '';
	return [...text.matchAll(/^test: (?<name>.+)$/gmv)].map(({groups}) => groups!.name!.trim());
};

const escaped = (name: string): string => name.replaceAll(/[$\(\)*+.?\[\\\]^\{\|\}]/gv, String.raw`\$&`);
const leftOut = knownRedTests();

export default defineConfig({
	test: {
		include: ['{packages/*,platform,soak}/tests/**/*.test.ts'],
		...(leftOut.length === 0 ? {} : {testNamePattern: new RegExp(`^(?!(?:${leftOut.map(name => escaped(name)).join('|')})$)`, 'v')}),
		// Each test starts its own sockets and stand-ins; the default timeout of 5 s is too short on a loaded machine.
		testTimeout: 30_000,
		hookTimeout: 30_000,
		reporters: ['default', './scripts/closing-line-reporter.ts'],
	},
});
