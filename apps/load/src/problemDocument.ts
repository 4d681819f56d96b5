import type { RequestOutcome } from "@wasabivane/common";

/** What a caller reads from an RFC 9457 problem document. */
export interface ProblemDocument {
  /** Last part of the document's `type`. */
  readonly type: string;
  readonly ending: Exclude<RequestOutcome, "whole">;
  readonly status: number;
}

/** Type of an error answer that is no problem document. */
const UNNAMED_TYPE = "unnamed";

/** Reads a problem; whatever does not say "not-run" plainly is unknown. */
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
