/**
Lint and format rules: XO's defaults, with the exceptions that the house style asks for.
*/
const config = [
	{
		ignores: ['dist/**', 'target/**', 'coverage/**'],
	},
	{
		rules: {
			// Doc comments are prose at the head of each module; the house style prefers them over tag lists.
			'capitalized-comments': 'off',
			// Reducers dispatch with a `switch` that ends in `assertNever`, which covers the missing default.
			'default-case': 'off',
			// fp-ts exports functions that are passed by name.
			'unicorn/no-array-callback-reference': 'off',
			// Immutable updates of small collections read best as a fold.
			'unicorn/no-array-reduce': 'off',
			// Sequential awaits are deliberate where order matters.
			'no-await-in-loop': 'off',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Event and effect names are discriminants; wire fields and headers follow their protocols.
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Behaviour that varies is an interface with classes; data is a type.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// A `default` with `assertNever` also catches values that the type checker never saw.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {
				allowDefaultCaseForExhaustiveSwitch: true,
				requireDefaultForNonUnion: true,
			}],
		},
	},
	{
		files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts', 'bench/**/*.ts', 'demo/**/*.ts'],
		rules: {
			// Test tools and the workspace's own packages are installed at the root; knip checks that each is listed.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
