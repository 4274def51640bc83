/**
Rows of allotments. `allotments/{team}` holds the sum over all holders; `allotments/{team}/{processId}@{incarnation}` holds one gate's allotment and the capacity that it requests on top (`wanted`).
*/
import * as E from 'fp-ts/lib/Either.js';
import {type JsonValue, parseWith, z} from '@poplarnotch/common';
import {type RowWrite} from '@poplarnotch/platform';

/** Prefix of all rows of allotments. */
export const allotmentsPrefix = 'allotments/';

const countSchema = z.number().int().nonnegative();
const sumSchema = z.object({held: countSchema});
const allotmentSchema = z.object({amount: countSchema, wanted: countSchema});

/** The part of a team's limit that one gate holds. */
export type Allotment = {
	readonly amount: number;
	/** The capacity that the gate requests on top of the amount. */
	readonly wanted: number;
	/** Version of the row; 0 if it is absent. */
	readonly version: number;
};

/** The allotment of a gate without a row. */
export const emptyAllotment: Allotment = {amount: 0, wanted: 0, version: 0};

/** Identifies the incarnation of a gate that holds an allotment. */
export const holderId = (processId: string, incarnation: number): string => `${processId}@${incarnation}`;

/** The process and incarnation in a holder's id. */
export const parseHolderId = (holder: string): {readonly processId: string; readonly incarnation: number} => {
	const end = holder.lastIndexOf('@');
	return {processId: holder.slice(0, end), incarnation: Number(holder.slice(end + 1))};
};

export const sumKey = (team: string): string => `${allotmentsPrefix}${team}`;
export const allotmentKey = (team: string, holder: string): string => `${allotmentsPrefix}${team}/${holder}`;

/** Parses the key of a sum or an allotment; the holder is `undefined` in the key of a sum. */
export const parseAllotmentKey = (key: string): {readonly team: string; readonly holder: string | undefined} => {
	const [team = '', holder] = key.slice(allotmentsPrefix.length).split('/');
	return {team, holder};
};

export const sumFrom = (value: JsonValue | undefined): number => {
	const parsed = parseWith(sumSchema, value, 'sum');
	return E.isRight(parsed) ? parsed.right.held : 0;
};

export const allotmentFrom = (value: JsonValue | undefined, version: number): Allotment => {
	const parsed = parseWith(allotmentSchema, value, 'allotment');
	return E.isRight(parsed) ? {...parsed.right, version} : emptyAllotment;
};

export const putSum = (team: string, held: number): RowWrite => ({type: 'put', key: sumKey(team), value: {held}});
export const putAllotment = (team: string, holder: string, amount: number, wanted: number): RowWrite =>
	({type: 'put', key: allotmentKey(team, holder), value: {amount, wanted}});
export const deleteAllotment = (team: string, holder: string): RowWrite => ({type: 'delete', key: allotmentKey(team, holder)});
