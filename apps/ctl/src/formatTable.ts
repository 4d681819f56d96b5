const COLUMN_SEPARATOR = "  ";
// deno-lint-ignore no-control-regex
const CONTROL_CHARACTERS = /[\u0000-\u001f\u007f-\u009f]/g;

/** Cells of one row. */
export type Row = readonly (string | number)[];

/**
 * Formats a table with aligned columns, numbers to the right. Replaces control
 * characters, so that a name from a host cannot send terminal escape sequences.
 */
export function formatTable(
  header: readonly string[],
  rows: readonly Row[],
): string[] {
  const texts = [header, ...rows].map((row) => row.map(formatCell));
  const widths = header.map((_, column) =>
    Math.max(...texts.map((row) => row[column]!.length))
  );
  return texts.map((row, index) =>
    row.map((cell, column) => {
      const isNumber =
        typeof rows[Math.max(0, index - 1)]?.[column] === "number";
      return isNumber
        ? cell.padStart(widths[column]!)
        : cell.padEnd(widths[column]!);
    }).join(COLUMN_SEPARATOR).trimEnd()
  );
}

function formatCell(cell: string | number): string {
  return String(cell).replace(CONTROL_CHARACTERS, "?");
}
