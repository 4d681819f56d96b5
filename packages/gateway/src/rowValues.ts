/**
 * Checks the types of the values in a decoded datagram; throws a `TypeError` on
 * a mismatch.
 */
import { asId, type Branded } from "@wasabivane/common";

/** The values of an encoded object, by position. */
export type Row = readonly unknown[];

/** Returns a value that must be a string. */
export function expectString(value: unknown): string {
  if (typeof value !== "string") throw new TypeError("Expected a string");
  return value;
}

/** Returns a value that must be a finite number. */
export function expectNumber(value: unknown): number {
  if (!Number.isFinite(value)) throw new TypeError("Expected a finite number");
  return value as number;
}

/** Returns a value that must be an array. */
export function expectArray(value: unknown): Row {
  if (!Array.isArray(value)) throw new TypeError("Expected an array");
  return value;
}

/** Returns a value that must be an array of arrays. */
export function expectRows(value: unknown): Row[] {
  return expectArray(value).map(expectArray);
}

/** Returns a value that must be an array of strings, as ids. */
export function expectIds<Id extends Branded<string, string>>(
  value: unknown,
): Id[] {
  return expectArray(value).map((item) => asId<Id>(expectString(item)));
}
