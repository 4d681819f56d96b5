/** Type guard for a value received from a peer. */
export type Shape<Value> = (value: unknown) => value is Value;

type ShapeValue<Checked> = Checked extends Shape<infer Value> ? Value : never;

type OptionalFields<Fields> = {
  [Name in keyof Fields]: undefined extends ShapeValue<Fields[Name]> ? Name
    : never;
}[keyof Fields];

/** Type of the values that an {@link objectOf} shape accepts. */
export type ObjectValue<Fields> =
  & {
    readonly [Name in Exclude<keyof Fields, OptionalFields<Fields>>]:
      ShapeValue<Fields[Name]>;
  }
  & {
    readonly [Name in OptionalFields<Fields>]?: ShapeValue<Fields[Name]>;
  };

const MAX_TEXT_LENGTH = 1024;
const MAX_LIST_LENGTH = 4096;

/** Accepts strings up to a maximum length, optionally branded. */
export function textOf<Text extends string>(
  maximum = MAX_TEXT_LENGTH,
): Shape<Text> {
  return (value): value is Text =>
    typeof value === "string" && value.length <= maximum;
}

/** Accepts finite numbers, optionally branded. */
export function numberOf<Value extends number>(): Shape<Value> {
  return (value): value is Value =>
    typeof value === "number" && Number.isFinite(value);
}

/** Accepts booleans. */
export function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}

/** Accepts byte arrays, as decoded from msgpack. */
export function isBytes(value: unknown): value is Uint8Array {
  return value instanceof Uint8Array;
}

/** Accepts any value; the receiver validates it. */
export function isAnything(_value: unknown): _value is unknown {
  return true;
}

/** Accepts one of the given strings. */
export function oneOf<Text extends string>(
  ...texts: readonly Text[]
): Shape<Text> {
  return (value): value is Text => texts.includes(value as Text);
}

/** Accepts `undefined` or a value of the given shape. */
export function optional<Value>(shape: Shape<Value>): Shape<Value | undefined> {
  return (value): value is Value | undefined =>
    value === undefined || shape(value);
}

/** Accepts arrays up to a maximum length. */
export function listOf<Item>(
  shape: Shape<Item>,
  maximum = MAX_LIST_LENGTH,
): Shape<readonly Item[]> {
  return (value): value is readonly Item[] =>
    Array.isArray(value) && value.length <= maximum && value.every(shape);
}

/**
 * Accepts objects with the given fields. Unknown fields are ignored, so that
 * newer releases can add fields.
 */
export function objectOf<Fields extends Record<string, Shape<unknown>>>(
  fields: Fields,
): Shape<ObjectValue<Fields>> {
  const checks = Object.entries(fields);
  return (value): value is ObjectValue<Fields> => {
    if (typeof value !== "object" || value === null) return false;
    const record = value as Record<string, unknown>;
    return checks.every(([name, isField]) => isField(record[name]));
  };
}

/** Accepts values that match any of the shapes. */
export function anyOf<Value>(...shapes: Shape<Value>[]): Shape<Value> {
  return (value): value is Value => shapes.some((shape) => shape(value));
}
