/**
Types of the JSON values in rows, settings and messages.
*/

/** Any value that JSON can carry. */
export type JsonValue = string | number | boolean | null | readonly JsonValue[] | JsonObject; // eslint-disable-line @typescript-eslint/no-restricted-types

/** A JSON object. */
export type JsonObject = {readonly [name: string]: JsonValue};
