/**
Base class of all errors that this project throws. Each subclass has a stable `code` that logs, problem answers and exit codes use, so that a caller never has to match on message text.
*/

/** An error with a stable machine-readable code. */
export abstract class PoplarnotchError extends Error {
	abstract readonly code: string;

	constructor(message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
	}
}

/** Input from outside (a file, a request, a row) does not match its schema. */
export class InvalidInputError extends PoplarnotchError {
	override readonly code = 'invalid-input';
}

/** A value that the type checker excludes occurred at run time. */
export class UnreachableError extends PoplarnotchError {
	override readonly code = 'unreachable';
}
