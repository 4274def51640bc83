/**
Lint and format rules: XO's defaults with the exceptions of the project's code style.
*/
const config = [
	{
		ignores: ['dist/**', 'target/**', 'coverage/**'],
	},
	{
		rules: {
			// Doc comments are prose at the head of each module; the project prefers prose to tag lists.
			'capitalized-comments': 'off',
			// Reducers dispatch with a `switch` that ends in `assertNever`, which covers the missing default.
			'default-case': 'off',
			// Functions of fp-ts are written to be passed as callbacks by name.
			'unicorn/no-array-callback-reference': 'off',
			// Immutable updates of small collections are most readable as a fold.
			'unicorn/no-array-reduce': 'off',
			// Awaits in loops are deliberate where the order of the calls matters.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Event and effect names are discriminants; wire fields and headers are named by their protocols.
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Interfaces are for behaviour with several implementations, type aliases for data.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// A `default` with `assertNever` also catches values that bypassed the type checker.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {
				allowDefaultCaseForExhaustiveSwitch: true,
				requireDefaultForNonUnion: true,
			}],
		},
	},
	{
		files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts', 'bench/**/*.ts', 'demo/**/*.ts', 'soak/**/*.ts'],
		rules: {
			// Test tools and the workspace's own packages are installed at the root; knip checks that each is declared.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
