/**
Errors of the command line. Each error class defines the exit code of the program.
*/
import {type Finding, formatFinding, PoplarnotchError} from '@poplarnotch/common';
import {type ExitCode, exitCodes} from './exit-codes.js';

/** Base class of all errors with which a command fails. */
export abstract class CommandError extends PoplarnotchError {
	abstract readonly exitCode: ExitCode;
}

/** The operators' interface refused the request. */
export class RequestRefusedError extends CommandError {
	override readonly code = 'request-refused';
	override readonly exitCode = exitCodes.refused;
}

/** The input is invalid; the message lists all findings. */
export class FindingsError extends CommandError {
	override readonly code = 'findings';
	override readonly exitCode = exitCodes.usage;

	constructor(findings: readonly Finding[]) {
		super(findings.map(formatFinding).join('\n'));
	}
}

/** Another change of the same settings was accepted first. */
export class ChangeConflictError extends CommandError {
	override readonly code = 'conflict';
	override readonly exitCode = exitCodes.conflict;
}

/** No controller responded, or all of them failed. */
export class ControllerUnreachableError extends CommandError {
	override readonly code = 'controller-unreachable';
	override readonly exitCode = exitCodes.unreachable;
}

/** The change is accepted but some live processes have not confirmed it. */
export class NotInForceError extends CommandError {
	override readonly code = 'not-in-force';
	override readonly exitCode = exitCodes.notInForce;
}
