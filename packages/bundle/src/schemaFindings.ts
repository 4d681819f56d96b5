import type { z } from "zod";
import { type DocumentPath, type Finding, listAllowed } from "./finding.ts";

type Schema = z.core.$ZodType;
type Issue = z.core.$ZodIssue;

/** The properties of zod's schema definitions that lead to nested schemas. */
interface SchemaDefinition {
  readonly type: string;
  readonly shape?: Readonly<Record<string, Schema>>;
  readonly element?: Schema;
  readonly valueType?: Schema;
  readonly innerType?: Schema;
  readonly in?: Schema;
  readonly options?: readonly Schema[];
}

/** Converts the issues of a zod schema to findings with the allowed values. */
export function schemaFindings(
  schema: Schema,
  { issues, value }: { issues: readonly Issue[]; value: unknown },
): Finding[] {
  return issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      return unknownKeyFindings(issue, { schema, value });
    }
    const path = pathOf(issue);
    const found = valueAt(value, path);
    return [{
      path,
      message: messageOf(found),
      allowed: allowedBy(issue, found),
    }];
  });
}

/** Returns the keys of an object schema, none for other schemas. */
export function schemaKeys(schema: Schema): string[] {
  return Object.keys(objectDefinition(schema, undefined)?.shape ?? {});
}

function unknownKeyFindings(
  issue: Issue & { code: "unrecognized_keys" },
  { schema, value }: { schema: Schema; value: unknown },
): Finding[] {
  const path = pathOf(issue);
  const owner = objectDefinition(
    schemaAt(schema, { path, value }),
    valueAt(value, path),
  );
  const keys = Object.keys(owner?.shape ?? {});
  return issue.keys.map((key) => ({
    path: [...path, key],
    message: `Unknown key ${JSON.stringify(key)}`,
    allowed: listAllowed(keys, { found: key }),
    isUnknownKey: true,
  }));
}

function messageOf(found: unknown): string {
  if (found === undefined) return "Missing value";
  return `${shortText(found)} is not allowed`;
}

const EXPECTED_VALUES: Readonly<Record<string, string>> = {
  int: "a whole number",
  number: "a number",
  string: "a string",
  boolean: "true or false",
  object: "an object",
  record: "an object",
  array: "an array",
  url: "a URL, such as http://127.0.0.1:7101",
  base64: "base64 text",
};

function allowedBy(issue: Issue, found: unknown): string {
  switch (issue.code) {
    case "invalid_type":
      return EXPECTED_VALUES[issue.expected] ?? issue.expected;
    case "invalid_value":
      return listAllowed(issue.values.map(String), {
        found: typeof found === "string" ? found : undefined,
      });
    case "too_small":
      return `${issue.inclusive ? "at least" : "more than"} ${issue.minimum}${
        unitOf(issue.origin)
      }`;
    case "too_big":
      return `${issue.inclusive ? "at most" : "less than"} ${issue.maximum}${
        unitOf(issue.origin)
      }`;
    case "invalid_format":
      return allowedFormat(issue);
    case "invalid_union":
      return allowedByUnion(issue, found);
    default:
      return issue.message;
  }
}

function allowedFormat(issue: Issue & { code: "invalid_format" }): string {
  const isCustomMessage = !issue.message.startsWith("Invalid");
  if (isCustomMessage) return issue.message;
  if (issue.pattern !== undefined && issue.format === "regex") {
    return `a string that matches ${issue.pattern}`;
  }
  return EXPECTED_VALUES[issue.format] ?? issue.format;
}

function allowedByUnion(
  issue: Issue & { code: "invalid_union" },
  found: unknown,
): string {
  const { options } = issue as { options?: readonly unknown[] };
  if (options !== undefined) {
    return listAllowed(options.map(String), { found: String(found) });
  }
  const branches = issue.errors.flatMap((issues) =>
    issues.map((branch) => allowedBy(branch, found))
  );
  return [...new Set(branches)].join(", or ");
}

function unitOf(origin: string): string {
  if (origin === "string") return " characters";
  return origin === "array" ? " items" : "";
}

function shortText(value: unknown): string {
  const text = JSON.stringify(value);
  return text.length <= 60 ? text : `${text.slice(0, 60)}…`;
}

function pathOf(issue: Issue): DocumentPath {
  return issue.path as DocumentPath;
}

function valueAt(value: unknown, path: DocumentPath): unknown {
  return path.reduce(memberOf, value);
}

function memberOf(value: unknown, step: string | number): unknown {
  if (typeof value !== "object" || value === null) return undefined;
  return Object.hasOwn(value, step)
    ? (value as Record<string | number, unknown>)[step]
    : undefined;
}

function schemaAt(
  schema: Schema | undefined,
  { path, value }: { path: DocumentPath; value: unknown },
): Schema | undefined {
  let current = schema;
  let inner = value;
  for (const step of path) {
    current = memberSchema(current, { step, value: inner });
    inner = memberOf(inner, step);
  }
  return current;
}

function memberSchema(
  schema: Schema | undefined,
  { step, value }: { step: string | number; value: unknown },
): Schema | undefined {
  const definition = unwrapDefinition(schema, value);
  return definition?.shape?.[step] ?? definition?.element ??
    definition?.valueType;
}

function objectDefinition(
  schema: Schema | undefined,
  value: unknown,
): SchemaDefinition | undefined {
  const definition = unwrapDefinition(schema, value);
  return definition?.shape === undefined ? undefined : definition;
}

/** Unwraps defaults, optionals, pipes and the matching branch of unions. */
function unwrapDefinition(
  schema: Schema | undefined,
  value: unknown,
): SchemaDefinition | undefined {
  if (schema === undefined) return undefined;
  const definition = schema._zod.def as unknown as SchemaDefinition;
  const inner = definition.innerType ?? definition.in;
  if (inner !== undefined) return unwrapDefinition(inner, value);
  if (definition.options === undefined) return definition;
  const branch = definition.options.find((option) =>
    hasMatchingLiterals(option, value)
  );
  return unwrapDefinition(branch, value);
}

/** Returns whether the value has the literals of an object schema. */
function hasMatchingLiterals(schema: Schema, value: unknown): boolean {
  const shape = objectDefinition(schema, value)?.shape;
  if (shape === undefined) return false;
  return Object.entries(shape).every(([key, member]) => {
    const { values } = member._zod;
    return values === undefined ||
      values.has(memberOf(value, key) as z.core.util.Primitive);
  });
}
