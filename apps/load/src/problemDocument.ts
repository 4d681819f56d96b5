import type { RequestOutcome } from "@wasabivane/common";

/** Members of an RFC 9457 problem document that the load tool evaluates. */
export interface ProblemDocument {
  /** Last part of the document's `type`. */
  readonly type: string;
  readonly ending: Exclude<RequestOutcome, "whole">;
  readonly status: number;
}

/** Type of an error response that is not a problem document. */
const UNNAMED_TYPE = "unnamed";

/** Parses a problem document; any `ending` but "not-run" becomes "unknown". */
export function parseProblemDocument(
  text: string,
  status: number,
): ProblemDocument {
  const members = parseObject(text);
  const { type, ending } = members;
  const name = typeof type === "string" ? type : UNNAMED_TYPE;
  return {
    type: name.slice(name.search(/[^:/]*$/)),
    ending: ending === "not-run" ? "not-run" : "unknown",
    status: typeof members["status"] === "number" ? members["status"] : status,
  };
}

function parseObject(text: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null
      ? value as Record<string, unknown>
      : {};
  } catch {
    return {};
  }
}
