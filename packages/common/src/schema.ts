/**
Wraps the schema library, which no other module imports directly: common field types with units, and parsing that returns findings instead of throwing exceptions.
*/
import * as E from 'fp-ts/lib/Either.js';
import {z} from 'zod';
import {type Checked, type Finding} from './findings.js';

/** A duration in milliseconds; must not be negative. */
export const durationMsSchema = z.number().int().nonnegative();

/** A non-negative integer, such as a count, version or revision. */
export const countSchema = z.number().int().nonnegative();

/** A name that can be a segment of a settings path. */
export const segmentSchema = z.string().regex(/^[a-z\d][a-z\d_\-]{0,62}$/v, 'must be lower-case letters, digits, "-" or "_"');

/** The URL base of a process, such as `http://127.0.0.1:7000`. */
export const baseUrlSchema = z.url({protocol: /^https?$/v});

type WrappedDef = z.core.$ZodTypeDef & {readonly innerType?: z.core.$ZodType};

const textTypes = new Set<string>(['string', 'enum']);

/** Returns true if a field's type is text; its value is then not converted, even if it looks like a number. */
export const isTextSchema = (schema: z.core.$ZodType | undefined): boolean => {
	if (schema === undefined) {
		return false;
	}

	const def = schema._zod.def as WrappedDef;
	return def.innerType === undefined ? textTypes.has(def.type) : isTextSchema(def.innerType);
};

const joinPlace = (place: string, path: readonly PropertyKey[]): string =>
	path.length === 0 ? place : `${place}/${path.map(String).join('/')}`;

const toFinding = (place: string, issue: z.core.$ZodIssue): Finding => ({
	place: joinPlace(place, issue.path),
	code: issue.code,
	message: issue.message,
});

/** Validates a value from outside the process. The place of each finding is `place`, followed by the path inside the value. */
export const parseWith = <Schema extends z.ZodType>(schema: Schema, value: unknown, place: string): Checked<z.infer<Schema>> => {
	const result = schema.safeParse(value);
	return result.success
		? E.right(result.data)
		: E.left(result.error.issues.map(issue => toFinding(place, issue)));
};

/** A list whose entries were validated one by one. */
export type CheckedEntries<Value> = {
	readonly valid: readonly Value[];
	/** The entries that the schema does not accept, with their findings. */
	readonly odd: ReadonlyArray<{readonly entry: unknown; readonly findings: readonly Finding[]}>;
};

/** Validates each entry of a list from outside the process on its own, so that an odd entry costs only itself. */
export const parseEntries = <Schema extends z.ZodType>(schema: Schema, entries: readonly unknown[], place: string): CheckedEntries<z.infer<Schema>> => {
	const valid: Array<z.infer<Schema>> = [];
	const odd: Array<{readonly entry: unknown; readonly findings: readonly Finding[]}> = [];
	for (const [index, entry] of entries.entries()) {
		const parsed = parseWith(schema, entry, `${place}/${index}`);
		if (E.isRight(parsed)) {
			valid.push(parsed.right);
		} else {
			odd.push({entry, findings: parsed.left});
		}
	}

	return {valid, odd};
};

export {z} from 'zod';
