/** Tells whether a received value has a given shape. */
export type Shape<Value> = (value: unknown) => value is Value;

type ShapeValue<Checked> = Checked extends Shape<infer Value> ? Value : never;

type OptionalFields<Fields> = {
  [Name in keyof Fields]: undefined extends ShapeValue<Fields[Name]> ? Name
    : never;
}[keyof Fields];

/** The value that an {@link objectOf} shape describes. */
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

/** A text of bounded length, with the brand that the caller names. */
export function textOf<Text extends string>(
  maximum = MAX_TEXT_LENGTH,
): Shape<Text> {
  return (value): value is Text =>
    typeof value === "string" && value.length <= maximum;
}

/** Any finite number, with the brand that the caller names. */
export function numberOf<Value extends number>(): Shape<Value> {
  return (value): value is Value =>
    typeof value === "number" && Number.isFinite(value);
}

/** True or false. */
export function isBoolean(value: unknown): value is boolean {
  return typeof value === "boolean";
}

/** Bytes, as msgpack carries them. */
export function isBytes(value: unknown): value is Uint8Array {
  return value instanceof Uint8Array;
}

/** Anything; the receiver checks it later. */
export function isAnything(_value: unknown): _value is unknown {
  return true;
}

/** One of the given texts. */
export function oneOf<Text extends string>(
  ...texts: readonly Text[]
): Shape<Text> {
  return (value): value is Text => texts.includes(value as Text);
}

/** The shape or nothing. */
export function optional<Value>(shape: Shape<Value>): Shape<Value | undefined> {
  return (value): value is Value | undefined =>
    value === undefined || shape(value);
}

/** A list of bounded length. */
export function listOf<Item>(
  shape: Shape<Item>,
  maximum = MAX_LIST_LENGTH,
): Shape<readonly Item[]> {
  return (value): value is readonly Item[] =>
    Array.isArray(value) && value.length <= maximum && value.every(shape);
}

/**
 * An object with the given fields. Fields that are not named are ignored, so
 * that a newer release may add some while older ones still run.
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

/** An object that any of the shapes describes. */
export function anyOf<Value>(...shapes: Shape<Value>[]): Shape<Value> {
  return (value): value is Value => shapes.some((shape) => shape(value));
}
