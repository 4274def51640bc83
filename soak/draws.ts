/**
Draws of values from a random sequence.
*/
import {type RandomSource} from '@poplarnotch/common';

/** Draws a whole number of the range, whose ends are included. */
export const drawBetween = (random: RandomSource, min: number, max: number): number => min + Math.floor(random.next() * (max - min + 1));

/** Draws one of the values, of which there is at least one. */
export const drawOne = <Value>(random: RandomSource, values: readonly Value[]): Value => values[Math.floor(random.next() * values.length)]!;
