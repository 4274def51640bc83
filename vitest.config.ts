import {defineConfig} from 'vitest/config';

export default defineConfig({
	test: {
		include: ['{packages/*,platform}/tests/**/*.test.ts'],
		// Sockets and stand-ins are started per test; the default of 5 s is short on a loaded machine.
		testTimeout: 30_000,
		hookTimeout: 30_000,
		reporters: ['default', './scripts/closing-line-reporter.ts'],
	},
});
