/// Plain-text tables.

export type Cell = string | number | boolean | undefined;

/// Rows under their column names, each column as wide as its widest cell.
export function formatTable(
  columns: readonly string[],
  rows: readonly (readonly Cell[])[],
): string {
  const lines = [columns, ...rows].map((row) =>
    row.map((cell) => cell === undefined ? "-" : String(cell))
  );
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => line[index]!.length))
  );
  return lines
    .map((line) =>
      line.map((cell, index) => cell.padEnd(widths[index]!)).join("  ")
        .trimEnd()
    )
    .join("\n");
}
