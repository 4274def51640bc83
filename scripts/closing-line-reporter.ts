/**
Prints a closing line with the numbers of passed and failed tests, for CI systems that parse such a line.
*/
import {type Reporter, type TestModule} from 'vitest/node';

const countByState = (modules: readonly TestModule[], state: 'passed' | 'failed'): number => {
	let count = 0;
	for (const module of modules) {
		for (const test of module.children.allTests()) {
			if (test.result().state === state) {
				count++;
			}
		}
	}

	return count;
};

/** Vitest reporter that prints the closing line after the default report. */
export default class ClosingLineReporter implements Reporter {
	onTestRunEnd(modules: readonly TestModule[]): void {
		const passed = countByState(modules, 'passed');
		const failed = countByState(modules, 'failed');
		console.log(`tests: ${passed} passed, ${failed} failed`);
	}
}
