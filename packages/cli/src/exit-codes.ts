/**
Exit codes of the command line. `poplarnotch --help` and docs/operations/cli.md list them too.
*/

export const exitCodes = {
	ok: 0,
	/** The request was refused, or its object does not exist. */
	refused: 1,
	/** The command line or a file is invalid; the findings are printed. */
	usage: 2,
	/** Another change of the same settings was accepted first. */
	conflict: 3,
	/** No controller could be reached, or it failed. */
	unreachable: 4,
	/** The change was accepted, but was not yet in force on every live process when the wait timed out. */
	notInForce: 5,
} as const;

export type ExitCode = typeof exitCodes[keyof typeof exitCodes];
