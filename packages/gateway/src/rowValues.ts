/**
 * Checks the types and ranges of the values in a decoded datagram; throws a
 * `TypeError` on a mismatch.
 */
import {
  type Address,
  asId,
  type Branded,
  type Milliseconds,
  parseAddress,
} from "@wasabivane/common";

/** The values of an encoded object, by position. */
export type Row = readonly unknown[];

/** Returns a value that must be a string. */
export function expectString(value: unknown): string {
  if (typeof value !== "string") throw new TypeError("Expected a string");
  return value;
}

/** Returns a value that must be a finite number; its sums are finite, too. */
export function expectNumber(value: unknown): number {
  const isInRange = Number.isFinite(value) &&
    Math.abs(value as number) <= Number.MAX_SAFE_INTEGER;
  if (!isInRange) throw new TypeError("Expected a finite number in range");
  return value as number;
}

/** The least and greatest number that a value may be. */
export interface NumberRange {
  readonly minimum?: number;
  readonly maximum?: number;
}

/** Returns a value that must be an integer, not negative if no range is given. */
export function expectInteger(
  value: unknown,
  { minimum = 0, maximum = Number.MAX_SAFE_INTEGER }: NumberRange = {},
): number {
  const isInRange = Number.isSafeInteger(value) &&
    (value as number) >= minimum && (value as number) <= maximum;
  if (isInRange) return value as number;
  throw new TypeError(`Expected an integer from ${minimum} to ${maximum}`);
}

/** Returns a finite number, moved into a range that holds all sound ones. */
export function expectHint(
  value: unknown,
  { minimum = 0, maximum }: NumberRange & { readonly maximum: number },
): number {
  if (!Number.isFinite(value)) throw new TypeError("Expected a finite number");
  return Math.max(minimum, Math.min(maximum, value as number));
}

/** Returns a time that has passed or is left; a negative one becomes 0. */
export function expectSpan(value: unknown): Milliseconds {
  return Math.max(0, expectNumber(value));
}

/** Returns a value that must be an `ip:port`. */
export function expectAddress(value: unknown): Address {
  const address = parseAddress(expectString(value));
  if (address === undefined) throw new TypeError("Expected an address ip:port");
  return address;
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

/** Rows that may be left out of a message that is otherwise sound. */
const MAXIMUM_REJECTED_ROWS = 32;

/**
 * Decodes rows, and leaves out those with a value that is out of range. Throws if
 * there are many of them, as each costs far more than a sound one.
 */
export function selectRows<Value>(
  value: unknown,
  decode: (row: Row) => Value,
): Value[] {
  const decoded: Value[] = [];
  let rejected = 0;
  for (const row of expectRows(value)) {
    try {
      decoded.push(decode(row));
    } catch (thrown) {
      // The other rows of the message hold.
      if (++rejected > MAXIMUM_REJECTED_ROWS) throw thrown;
    }
  }
  return decoded;
}

/** Returns a value that must be an array of strings, as ids. */
export function expectIds<Id extends Branded<string, string>>(
  value: unknown,
): Id[] {
  return expectArray(value).map((item) => asId<Id>(expectString(item)));
}
