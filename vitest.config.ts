import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['{packages/*,platform}/tests/**/*.test.ts'],
		// Each test starts its own sockets and stand-ins; the default timeout of 5 s is too short on a loaded machine.
		testTimeout: 30_000,
		hookTimeout: 30_000,
		reporters: ['default', './scripts/closing-line-reporter.ts'],
	},
});
