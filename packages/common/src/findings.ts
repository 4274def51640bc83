/**
Findings are the problems that a validation of some input reports. A validation collects all findings of one input and reports them together, each with its place in the input.
*/
import * as E from 'fp-ts/lib/Either.js';

/** One problem in some input. `place` is `file:line` or a settings path. */
export type Finding = {
	readonly place: string;
	readonly code: string;
	readonly message: string;
};

/** The validated value, or all findings. */
export type Checked<Value> = E.Either<readonly Finding[], Value>;

/** Returns the value if there are no findings, else the findings. */
export const checkedFrom = <Value>(findings: readonly Finding[], value: Value): Checked<Value> =>
	findings.length === 0 ? E.right(value) : E.left(findings);

/** Renders one finding as a line of text. */
export const formatFinding = (finding: Finding): string =>
	`${finding.place}: ${finding.message} [${finding.code}]`;
