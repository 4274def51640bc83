/**
Types of the JSON values in rows, settings and messages.
*/

/** Any value that JSON can carry. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | JsonObject; // eslint-disable-line @typescript-eslint/no-restricted-types

/** A JSON object. */
export type JsonObject = {readonly [name: string]: JsonValue};

/** Deeper values are not used: serializing and copying recurse into them. The rows and messages of this project have less than ten levels. */
const maxNestingDepth = 64;

const isContainer = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null;

/** Returns true if arrays and objects are nested deeper in the value than this project serializes. */
export const isNestedTooDeep = (value: unknown, depth = 0): boolean =>
	isContainer(value) && (depth >= maxNestingDepth || Object.values(value).some(child => isNestedTooDeep(child, depth + 1)));

/** Returns the value, or null if it is nested too deep, which no schema accepts. */
export const withoutDeepNesting = (value: JsonValue): JsonValue => isNestedTooDeep(value) ? null : value;
