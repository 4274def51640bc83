/**
The binary `poplarnotch`: the operators' command line.
*/
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {SystemClock} from '@poplarnotch/common';
import {runCli} from './cli.js';

process.exitCode = await runCli(process.argv.slice(2), {
	clock: new SystemClock(),
	variables: process.env,
	writeResult(line) {
		process.stdout.write(`${line}\n`);
	},
	writeProgress(line) {
		process.stderr.write(`${line}\n`);
	},
	readFile: async path => readFile(path, 'utf8'),
	newId: randomUUID,
});
