import type { Sheet } from "./sheet.ts";
import { SECTIONS } from "./sheet_chunks.ts";

/// Formats a sheet as CSV that `parseSheetCsv` can parse.

function formatCell(value: unknown): string {
  if (Array.isArray(value)) return value.join(" ");
  if (typeof value === "boolean") return value ? "yes" : "no";
  return String(value);
}

export function formatSheetCsv(sheet: Sheet): string {
  const sections = SECTIONS.map(({ name, schema }) => {
    const columns = Object.keys(schema.properties as object);
    const value = sheet[name];
    const rows = (Array.isArray(value) ? value : [value]) as readonly Record<
      string,
      unknown
    >[];
    const lines = rows.map((row) =>
      columns.map((column) => formatCell(row[column])).join(",")
    );
    return [`[${name}]`, columns.join(","), ...lines].join("\n");
  });
  return sections.join("\n\n");
}
