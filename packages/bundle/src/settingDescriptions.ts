import { z } from "zod";

/** Describes a setting of a schema for the settings reference. */
export interface SettingDescription {
  /** For example `trustedKeys[].keyId`. */
  readonly path: string;
  readonly allowed: string;
  /** The default as JSON, if there is one. */
  readonly defaultText?: string;
  readonly isRequired: boolean;
}

/** The subset of JSON Schema that zod generates for the schemas in use. */
interface JsonSchema {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly items?: JsonSchema;
  readonly anyOf?: readonly JsonSchema[];
  readonly enum?: readonly unknown[];
  readonly const?: unknown;
  readonly format?: string;
  readonly pattern?: string;
  readonly minimum?: number;
  readonly exclusiveMinimum?: number;
  readonly maximum?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly maxLength?: number;
  readonly default?: unknown;
}

/** Describes the leaf settings of an object schema in schema order. */
export function describeSettings(schema: z.ZodType): SettingDescription[] {
  const root = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
  return describeMembers(root as JsonSchema, { prefix: "", isRequired: true });
}

function describeMembers(
  { properties = {}, required = [] }: JsonSchema,
  { prefix, isRequired }: { prefix: string; isRequired: boolean },
): SettingDescription[] {
  return Object.entries(properties).flatMap(([key, member]) =>
    describeMember(member, {
      path: `${prefix}${key}`,
      isRequired: isRequired && required.includes(key),
    })
  );
}

function describeMember(
  schema: JsonSchema,
  { path, isRequired }: { path: string; isRequired: boolean },
): SettingDescription[] {
  if (schema.properties !== undefined) {
    return describeMembers(schema, { prefix: `${path}.`, isRequired });
  }
  if (schema.items?.properties !== undefined) {
    return describeMembers(schema.items, { prefix: `${path}[].`, isRequired });
  }
  const defaultText = schema.default === undefined
    ? {}
    : { defaultText: JSON.stringify(schema.default) };
  return [{ path, allowed: allowedText(schema), isRequired, ...defaultText }];
}

function allowedText(schema: JsonSchema): string {
  if (schema.anyOf !== undefined) {
    return schema.anyOf.map(allowedText).join(" or ");
  }
  if (schema.const !== undefined) return JSON.stringify(schema.const);
  if (schema.enum !== undefined) {
    return schema.enum.map((value) => JSON.stringify(value)).join(", ");
  }
  if (schema.type === "array") return arrayText(schema);
  if (schema.type === "string") return stringText(schema);
  if (schema.type === "boolean") return "true, false";
  return numberText(schema);
}

function arrayText({ items = {}, minItems, maxItems }: JsonSchema): string {
  const bounds = rangeText({ minimum: minItems, maximum: maxItems });
  return `list${bounds === "" ? "" : ` of ${bounds}`}: ${allowedText(items)}`;
}

function stringText({ format, pattern, maxLength }: JsonSchema): string {
  if (format === "uri") return "http or https URL";
  if (format === "ipv4") return "IPv4 number";
  if (format === "ipv6") return "IPv6 number";
  if (format === "base64") return "base64 text";
  const length = maxLength === undefined ? "" : `, at most ${maxLength} long`;
  return pattern === undefined ? `text${length}` : `\`${pattern}\`${length}`;
}

function numberText(
  { type, minimum, exclusiveMinimum, maximum }: JsonSchema,
): string {
  const noun = type === "integer" ? "whole number" : "number";
  if (exclusiveMinimum !== undefined) {
    return `${noun} above ${exclusiveMinimum}`;
  }
  const bounds = rangeText({ minimum, maximum });
  return bounds === "" ? noun : `${noun}, ${bounds}`;
}

/** Formats a range such as `1 to 9`, ignoring the limits of safe integers. */
function rangeText(
  { minimum, maximum }: { minimum?: number; maximum?: number },
): string {
  const hasMinimum = minimum !== undefined && minimum > Number.MIN_SAFE_INTEGER;
  const hasMaximum = maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER;
  if (hasMinimum && hasMaximum) return `${minimum} to ${maximum}`;
  if (hasMinimum) return `at least ${minimum}`;
  return hasMaximum ? `at most ${maximum}` : "";
}
