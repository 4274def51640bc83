/**
Exhaustiveness check for `switch` statements over discriminated unions.
*/
import {UnreachableError} from './errors.js';

/** Causes a compile error if a case is missing, and throws if a value that the types exclude occurs at run time. */
export const assertNever = (value: never): never => {
	throw new UnreachableError(`Unexpected value: ${JSON.stringify(value)}`);
};
