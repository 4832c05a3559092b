import type { TObject, TSchema } from "@sinclair/typebox";
import { type TypeCheck, TypeCompiler } from "@sinclair/typebox/compiler";
import { CsvError, parse } from "csv-parse/sync";
import { EMPTY_SHEET, SECTION_SCHEMAS, type Sheet } from "./sheet.ts";
import {
  checkReferences,
  type SheetFault,
  SheetFaultsError,
  type UncheckedSheet,
} from "./sheet_check.ts";

type SectionName = keyof typeof SECTION_SCHEMAS;

const LIST_SEPARATOR = /\s+/;

interface Cell {
  readonly text: string;
  readonly row: number;
  readonly column: number;
}

/// Reads a sheet from the CSV that planners export: sections start with a row
/// `[name]`, followed by a row of column names. Throws `SheetFaultsError`.
export function parseSheetCsv(text: string): Sheet {
  const faults: SheetFault[] = [];
  const sections = readSections(text, faults);
  const rows: Record<string, Record<string, unknown>[]> = {};
  for (const [name, records] of sections) {
    rows[name] = records.map((record) =>
      readRecord(SECTION_SCHEMAS[name], record, faults)
    );
  }
  for (const record of sections.get("options")?.slice(1) ?? []) {
    const { row } = record.get("")!;
    faults.push({ row, column: 1, message: "expected one row of options" });
  }
  for (const fault of checkReferences(rows as UncheckedSheet)) {
    const record = sections.get(fault.section)![fault.index]!;
    const { row, column } = record.get(fault.column) ?? record.get("")!;
    faults.push({ row, column, message: fault.message });
  }
  if (faults.length > 0) throw new SheetFaultsError(inFileOrder(faults));
  const options = rows.options?.[0] ?? EMPTY_SHEET.options;
  return { ...EMPTY_SHEET, ...rows, options } as Sheet;
}

function inFileOrder(faults: readonly SheetFault[]): SheetFault[] {
  return faults.toSorted((left, right) =>
    left.row! - right.row! || left.column! - right.column!
  );
}

type SheetRecord = ReadonlyMap<string, Cell>;

/// Lines that decide which delimiter a file uses.
const DELIMITER_LINES = 8;

function readRows(text: string, faults: SheetFault[]): string[][] {
  const body = text.replace(/^\uFEFF/, "");
  const start = body.split("\n", DELIMITER_LINES).join("\n");
  const countOf = (delimiter: string) => start.split(delimiter).length;
  try {
    return parse(body, {
      delimiter: countOf(";") > countOf(",") ? ";" : ",",
      relax_column_count: true,
      skip_empty_lines: false,
      trim: true,
    }) as string[][];
  } catch (error) {
    if (!(error instanceof CsvError)) throw error;
    const row = Number(error.lines ?? 1);
    faults.push({ row, column: 1, message: error.message });
    return [];
  }
}

function readSections(
  text: string,
  faults: SheetFault[],
): Map<SectionName, SheetRecord[]> {
  const sections = new Map<SectionName, SheetRecord[]>();
  let records: SheetRecord[] | undefined;
  let columns: string[] | undefined;
  for (const [index, cells] of readRows(text, faults).entries()) {
    const row = index + 1;
    if (cells.every((cell) => cell === "")) continue;
    const title = /^\[(.*)\]$/.exec(cells[0] ?? "")?.[1];
    if (title !== undefined) {
      columns = undefined;
      records = openSection(title, sections, { row, faults });
    } else if (!records) {
      faults.push({ row, column: 1, message: "expected a [section]" });
    } else if (!columns) {
      columns = cells;
      const twice = cells.findIndex((name, position) =>
        name !== "" && cells.indexOf(name) < position
      );
      if (twice >= 0) {
        const message = `column ${cells[twice]} stands twice`;
        faults.push({ row, column: twice + 1, message });
      }
    } else {
      records.push(toRecord(cells, columns, row));
    }
  }
  return sections;
}

function openSection(
  title: string,
  sections: Map<SectionName, SheetRecord[]>,
  place: { row: number; faults: SheetFault[] },
): SheetRecord[] {
  const records: SheetRecord[] = [];
  const { row, faults } = place;
  if (!(title in SECTION_SCHEMAS)) {
    const expected = Object.keys(SECTION_SCHEMAS).join(", ");
    const message = `unknown section ${title}; expected one of ${expected}`;
    faults.push({ row, column: 1, message });
    return records;
  }
  const name = title as SectionName;
  if (sections.has(name)) {
    faults.push({ row, column: 1, message: `section ${title} stands twice` });
    return records;
  }
  sections.set(name, records);
  return records;
}

function toRecord(cells: string[], columns: string[], row: number) {
  const record = new Map<string, Cell>([["", { text: "", row, column: 1 }]]);
  for (const [index, name] of columns.entries()) {
    if (name === "") continue;
    record.set(name, { text: cells[index] ?? "", row, column: index + 1 });
  }
  return record;
}

function readRecord(
  schema: TObject,
  record: SheetRecord,
  faults: SheetFault[],
): Record<string, unknown> {
  const value: Record<string, unknown> = {};
  const { row } = record.get("")!;
  for (const [name, property] of Object.entries(schema.properties)) {
    const cell = record.get(name);
    if (!cell && property.default !== undefined) {
      value[name] = property.default;
      continue;
    }
    if (!cell) {
      faults.push({ row, column: 1, message: `column ${name} is missing` });
      continue;
    }
    value[name] = convert(property, cell.text);
    if (!checkOf(property).Check(value[name])) {
      const message = `${name}: expected ${
        describe(property)
      }, got "${cell.text}"`;
      faults.push({ row, column: cell.column, message });
    }
  }
  for (const [name, cell] of record) {
    if (name !== "" && !(name in schema.properties)) {
      const message = `unknown column ${name}`;
      faults.push({ row: cell.row, column: cell.column, message });
    }
  }
  return value;
}

const checks = new Map<TSchema, TypeCheck<TSchema>>();

/// The compiled check of a column; interpreting its schema for each cell of a
/// large sheet would block the process for seconds.
function checkOf(schema: TSchema): TypeCheck<TSchema> {
  const check = checks.get(schema) ?? TypeCompiler.Compile(schema);
  checks.set(schema, check);
  return check;
}

function convert(schema: TSchema, text: string): unknown {
  if (schema.type === "array") {
    return text === "" ? [] : text.split(LIST_SEPARATOR);
  }
  if (text === "" && schema.default !== undefined) return schema.default;
  if (schema.type === "number" || schema.type === "integer") {
    return text === "" ? text : Number(text);
  }
  if (schema.type === "boolean") {
    if (text === "yes" || text === "true") return true;
    return text === "no" || text === "false" ? false : text;
  }
  return text;
}

function describe(schema: TSchema): string {
  if (schema.anyOf) {
    const choices = schema.anyOf as readonly { readonly const: string }[];
    return `one of ${choices.map((choice) => choice.const).join(", ")}`;
  }
  if (schema.type === "boolean") return "yes or no";
  if (schema.pattern) return `text that matches ${schema.pattern}`;
  if (schema.type === "integer") {
    return `a whole number of at least ${schema.minimum}`;
  }
  if (schema.type === "number") return "a number above 0";
  if (schema.type === "array") return `a list of ${describe(schema.items)}`;
  return `a valid ${schema.type}`;
}
