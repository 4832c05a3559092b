import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { Sheet } from "./sheet.ts";
import { rowKeyOf, SECTIONS } from "./sheet_chunks.ts";

/// The differences between two sheets, row by row.

export const SheetChange = Type.Object({
  kind: Type.Union([
    Type.Literal("added"),
    Type.Literal("removed"),
    Type.Literal("changed"),
  ]),
  section: Type.String(),
  /// The key that identifies the row in its section.
  row: Type.String(),
  /// Columns of a changed row that differ.
  columns: Type.Array(Type.Object({
    column: Type.String(),
    before: Type.Unknown(),
    after: Type.Unknown(),
  })),
});
export type SheetChange = Static<typeof SheetChange>;

type Row = Readonly<Record<string, unknown>>;

function rowsByKey(sheet: Sheet, section: typeof SECTIONS[number]) {
  const value = sheet[section.name];
  const rows = (Array.isArray(value) ? value : [value]) as readonly Row[];
  return new Map(rows.map((row) => [rowKeyOf(section, row), row]));
}

function differingColumns(before: Row, after: Row) {
  return Object.keys(after)
    .filter((column) => !Value.Equal(before[column], after[column]))
    .map((column) => ({
      column,
      before: before[column],
      after: after[column],
    }));
}

/// The changes that turn `before` into `after`.
export function diffSheets(before: Sheet, after: Sheet): SheetChange[] {
  return SECTIONS.flatMap((section) => {
    const old = rowsByKey(before, section);
    const current = rowsByKey(after, section);
    const changes: SheetChange[] = [];
    const add = (
      kind: SheetChange["kind"],
      row: string,
      columns: SheetChange["columns"] = [],
    ) => changes.push({ kind, section: section.name, row, columns });
    for (const row of old.keys()) {
      if (!current.has(row)) add("removed", row);
    }
    for (const [row, value] of current) {
      const previous = old.get(row);
      if (!previous) add("added", row);
      else {
        const columns = differingColumns(previous, value);
        if (columns.length > 0) add("changed", row, columns);
      }
    }
    return changes;
  });
}
