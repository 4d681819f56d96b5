import { UsageError } from "./commandLine.ts";

/** Holds parsed command-line options by name in camel case. */
export type ParsedOptions = Readonly<Record<string, unknown>>;

/**
 * Returns the value of an option, `undefined` if it is not given. Throws a
 * {@link UsageError} if it is repeated.
 */
export function getTextOption(
  options: ParsedOptions,
  name: string,
): string | undefined {
  const value = options[name];
  if (value === undefined) return undefined;
  if (Array.isArray(value)) {
    throw new UsageError(`${flagOf(name)} is given more than once`);
  }
  return String(value);
}

/**
 * Returns the value of a required option. Throws a {@link UsageError} if it is
 * missing or repeated.
 */
export function getRequiredTextOption(
  options: ParsedOptions,
  name: string,
): string {
  const value = getTextOption(options, name);
  if (value !== undefined) return value;
  throw new UsageError(`${flagOf(name)} is missing`);
}

/**
 * Returns the value of a whole-number option, `undefined` if it is not given.
 * Throws a {@link UsageError} for other values.
 */
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
