import { UsageError } from "./commandLine.ts";

/** Options as a parser of command lines gives them, in camel case. */
export type ParsedOptions = Readonly<Record<string, unknown>>;

/** The value of an option that may be left out. */
export function getTextOption(
  options: ParsedOptions,
  name: string,
): string | undefined {
  const value = options[name];
  if (value === undefined) return undefined;
  if (Array.isArray(value)) {
    throw new UsageError(`${flagOf(name)} stands twice`);
  }
  return String(value);
}

/** The value of an option that must be given. */
export function getRequiredTextOption(
  options: ParsedOptions,
  name: string,
): string {
  const value = getTextOption(options, name);
  if (value !== undefined) return value;
  throw new UsageError(`${flagOf(name)} is missing`);
}

/** The value of an option that holds a whole number. */
export function getIntegerOption(
  options: ParsedOptions,
  name: string,
): number | undefined {
  const value = getTextOption(options, name);
  if (value === undefined) return undefined;
  if (/^\d{1,15}$/.test(value)) return Number(value);
  throw new UsageError(`${flagOf(name)} must be a whole number`);
}

function flagOf(name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;
}
