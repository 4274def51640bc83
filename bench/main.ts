/**
Runs the benchmark with the given name: `npm run bench -- NAME`. The last line of the output is a JSON object with the figures.
*/
import process from 'node:process';
import {readdirSync} from 'node:fs';

/** Interface of a benchmark module. `run` resolves to the figures of the benchmark. */
type BenchModule = {
	readonly run: (options: readonly string[]) => Promise<Readonly<Record<string, unknown>>>;
};

const suffix = '.bench.ts';

const knownNames = (): readonly string[] => readdirSync(import.meta.dirname)
	.filter(file => file.endsWith(suffix))
	.map(file => file.slice(0, -suffix.length));

const [name, ...options] = process.argv.slice(2);
const names = knownNames();
if (name === undefined || !names.includes(name)) {
	console.error(`usage: npm run bench -- NAME\nknown benchmarks: ${names.join(', ')}`);
	process.exitCode = 2;
} else {
	const module = await import(`./${name}${suffix}`) as BenchModule;
	const figures = await module.run(options);
	console.log(JSON.stringify({bench: name, ...figures}));
}
