import { type Buffer, isUtf8 } from "node:buffer";
import { readFileSync, statSync } from "node:fs";

import {
  createScanner,
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { type DocumentPath, type Finding, formatPath } from "./finding.ts";
import { schemaFindings } from "./schemaFindings.ts";

const MAX_DOCUMENT_BYTES = 8 * 1024 * 1024;
/** Guards the recursive parser against stack overflow. */
const MAX_DEPTH = 32;

const JSON_WITH_COMMENTS = "JSON with comments";

/** The kinds of {@link DocumentError}. */
export type DocumentErrorKind =
  | "unreadable"
  | "too-large"
  | "not-utf8"
  | "syntax"
  | "duplicate-key"
  | "unknown-key"
  | "invalid";

/** A problem with a document and its location. */
export interface DocumentError {
  readonly kind: DocumentErrorKind;
  readonly file: string;
  /** Counts from 1; 0 if the error concerns the whole file. */
  readonly line: number;
  /** Counts from 1; 0 if the error concerns the whole file. */
  readonly column: number;
  /** For example `upstreams[3].service`. */
  readonly path: string;
  readonly message: string;
  readonly allowed: string;
}

/** Options of {@link readDocument}. */
export interface DocumentOptions<Value> {
  /** Checks values that passed the schema for further problems. */
  check?: (value: Value) => readonly Finding[];
}

/** Reads JSON with comments from a file and validates it against a schema. */
export function readDocument<Value>(
  file: string,
  schema: z.ZodType<Value>,
  options: DocumentOptions<Value> = {},
): Result<Value, DocumentError[]> {
  return readBytes(file).andThen((bytes) => {
    if (!isUtf8(bytes)) {
      const message = "The file is not valid UTF-8";
      return err([
        fileError(file, { kind: "not-utf8", message, allowed: "UTF-8" }),
      ]);
    }
    return parseDocument(bytes.toString("utf8"), schema, { ...options, file });
  });
}

/** Parses JSON with comments from a string; see {@link readDocument}. */
export function parseDocument<Value>(
  text: string,
  schema: z.ZodType<Value>,
  { file, check = () => [] }: DocumentOptions<Value> & { file: string },
): Result<Value, DocumentError[]> {
  const source = new DocumentSource(file, text);
  return parseRoot(source).andThen((root) => {
    const duplicates = duplicateKeys(root, { source });
    if (duplicates.length > 0) return err(duplicates);
    const value: unknown = getNodeValue(root);
    const parsed = schema.safeParse(value);
    const findings = parsed.success
      ? check(parsed.data)
      : schemaFindings(schema, { issues: parsed.error.issues, value });
    if (parsed.success && findings.length === 0) return ok(parsed.data);
    return err(findings.map((finding) => source.errorFor(finding, root)));
  });
}

/** Formats an error as `file:line:column: path: message; allowed: values`. */
export function formatDocumentError(error: DocumentError): string {
  const { file, line, column, path, message, allowed } = error;
  const location = line === 0 ? file : `${file}:${line}:${column}: ${path}`;
  return `${location}: ${message}; allowed: ${allowed}`;
}

/** Maps offsets of a document to lines and columns. */
class DocumentSource {
  readonly file: string;
  readonly text: string;
  readonly #lineStarts: number[] = [0];

  constructor(file: string, text: string) {
    this.file = file;
    this.text = text.startsWith("\uFEFF") ? text.slice(1) : text;
    for (let index = 0; index < this.text.length; index++) {
      if (this.text[index] === "\n") this.#lineStarts.push(index + 1);
    }
  }

  /** Creates an error at an offset. */
  errorAt(
    offset: number,
    error: Pick<DocumentError, "kind" | "path" | "message" | "allowed">,
  ): DocumentError {
    let line = this.#lineStarts.findIndex((start) => start > offset);
    if (line < 0) line = this.#lineStarts.length;
    const column = offset - this.#lineStarts[line - 1]! + 1;
    return { file: this.file, line, column, ...error };
  }

  /** Creates an error at the path of a finding or its nearest parent. */
  errorFor(finding: Finding, root: Node): DocumentError {
    const { path, message, allowed, isUnknownKey = false } = finding;
    return this.errorAt(offsetOf(root, { path, isUnknownKey }), {
      kind: isUnknownKey ? "unknown-key" : "invalid",
      path: formatPath(path),
      message,
      allowed,
    });
  }
}

function readBytes(file: string): Result<Buffer, DocumentError[]> {
  try {
    const { size } = statSync(file);
    if (size > MAX_DOCUMENT_BYTES) {
      const message = `The file has ${size} bytes`;
      const allowed = `at most ${MAX_DOCUMENT_BYTES} bytes`;
      return err([fileError(file, { kind: "too-large", message, allowed })]);
    }
    return ok(readFileSync(file));
  } catch (error) {
    const { code = "unknown error" } = error as NodeJS.ErrnoException;
    const message = `Cannot read the file (${code})`;
    const allowed = "a file that this user can read";
    return err([fileError(file, { kind: "unreadable", message, allowed })]);
  }
}

function fileError(
  file: string,
  error: Pick<DocumentError, "kind" | "message" | "allowed">,
): DocumentError {
  return { file, line: 0, column: 0, path: formatPath([]), ...error };
}

function parseRoot(source: DocumentSource): Result<Node, DocumentError[]> {
  const tooDeepOffset = findOffsetBeyondMaxDepth(source.text);
  if (tooDeepOffset !== undefined) {
    return err([source.errorAt(tooDeepOffset, {
      kind: "syntax",
      path: formatPath([]),
      message: "The document is nested too deeply",
      allowed: `at most ${MAX_DEPTH} levels`,
    })]);
  }
  const errors: ParseError[] = [];
  const root = parseTree(source.text, errors, { allowTrailingComma: true });
  if (root !== undefined && errors.length === 0) return ok(root);
  return err(syntaxErrors(source, errors));
}

function syntaxErrors(
  source: DocumentSource,
  errors: readonly ParseError[],
): DocumentError[] {
  const path = formatPath([]);
  if (errors.length === 0) {
    const message = "The document is empty";
    return [source.errorAt(0, {
      kind: "syntax",
      path,
      message,
      allowed: JSON_WITH_COMMENTS,
    })];
  }
  return errors.map(({ error, offset }) =>
    source.errorAt(offset, {
      kind: "syntax",
      path,
      message: toSentence(printParseErrorCode(error)),
      allowed: JSON_WITH_COMMENTS,
    })
  );
}

/** Turns a code such as `CloseBraceExpected` into `Close brace expected`. */
function toSentence(code: string): string {
  const words = code.replace(/([a-z])([A-Z])/g, "$1 $2").toLowerCase();
  return words.charAt(0).toUpperCase() + words.slice(1);
}

function findOffsetBeyondMaxDepth(text: string): number | undefined {
  const scanner = createScanner(text, true);
  let depth = 0;
  scanner.scan();
  while (scanner.getTokenOffset() < text.length) {
    const first = text[scanner.getTokenOffset()];
    if (first === "{" || first === "[") depth++;
    if (first === "}" || first === "]") depth--;
    if (depth > MAX_DEPTH) return scanner.getTokenOffset();
    scanner.scan();
  }
  return undefined;
}

/**
 * Reports reserved and repeated keys. Of repeated keys, the parser would
 * silently keep the last.
 */
function duplicateKeys(
  node: Node,
  { source, path = [] }: { source: DocumentSource; path?: DocumentPath },
): DocumentError[] {
  if (node.type === "array") {
    return (node.children ?? []).flatMap((child, index) =>
      duplicateKeys(child, { source, path: [...path, index] })
    );
  }
  if (node.type !== "object") return [];
  const seen = new Set<string>();
  return (node.children ?? []).flatMap(({ children }) => {
    const [keyNode, valueNode] = children!;
    const key: string = keyNode!.value;
    const keyPath = [...path, key];
    if (seen.has(key) || key === "__proto__") {
      return [source.errorAt(keyNode!.offset, {
        kind: "duplicate-key",
        path: formatPath(keyPath),
        message: `Key ${JSON.stringify(key)} is repeated or reserved`,
        allowed: "each key once",
      })];
    }
    seen.add(key);
    if (valueNode === undefined) return [];
    return duplicateKeys(valueNode, { source, path: keyPath });
  });
}

function offsetOf(
  root: Node,
  { path, isUnknownKey }: { path: DocumentPath; isUnknownKey: boolean },
): number {
  const node = findNodeAtLocation(root, [...path]);
  if (node === undefined) {
    const parent = path.slice(0, -1);
    return path.length === 0
      ? root.offset
      : offsetOf(root, { path: parent, isUnknownKey: false });
  }
  return isUnknownKey ? node.parent!.offset : node.offset;
}
