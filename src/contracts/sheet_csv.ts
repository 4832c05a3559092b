import type { TObject, TSchema } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { parse } from "csv-parse/sync";
import {
  Customer,
  EMPTY_SHEET,
  ModelShare,
  ServiceOperation,
  type Sheet,
  SheetOptions,
  Upstream,
} from "./sheet.ts";

/// Something wrong in a sheet, with its place in the file. Rows and columns
/// count from one.
export interface SheetFault {
  readonly row: number;
  readonly column: number;
  readonly message: string;
}

/// The file is not a valid sheet. Carries every fault found.
export class SheetFaultsError extends Error {
  override readonly name = "SheetFaultsError";
  readonly faults: readonly SheetFault[];
  constructor(faults: readonly SheetFault[]) {
    super(`the sheet has ${faults.length} faults`);
    this.faults = faults;
  }
}

const SECTIONS = {
  options: SheetOptions,
  customers: Customer,
  models: ModelShare,
  upstreams: Upstream,
  operations: ServiceOperation,
} as const;
type SectionName = keyof typeof SECTIONS;

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
  const sheet: Record<string, unknown> = { ...EMPTY_SHEET };
  for (const [name, records] of sections) {
    const values = records.map((record) =>
      readRecord(SECTIONS[name], record, faults)
    );
    sheet[name] = name === "options"
      ? values[0] ?? EMPTY_SHEET.options
      : values;
  }
  if (faults.length > 0) throw new SheetFaultsError(faults);
  return sheet as Sheet;
}

type SheetRecord = ReadonlyMap<string, Cell>;

function readRows(text: string): string[][] {
  const body = text.replace(/^\uFEFF/, "");
  const firstLine = body.slice(0, body.indexOf("\n"));
  const header = body.split("\n", 2)[1] ?? firstLine;
  const delimiter = header.includes(";") ? ";" : ",";
  return parse(body, {
    delimiter,
    relax_column_count: true,
    skip_empty_lines: false,
    trim: true,
  }) as string[][];
}

function readSections(
  text: string,
  faults: SheetFault[],
): Map<SectionName, SheetRecord[]> {
  const sections = new Map<SectionName, SheetRecord[]>();
  let records: SheetRecord[] | undefined;
  let columns: string[] | undefined;
  for (const [index, cells] of readRows(text).entries()) {
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
  if (!(title in SECTIONS)) {
    const expected = Object.keys(SECTIONS).join(", ");
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
): unknown {
  const value: Record<string, unknown> = {};
  const { row } = record.get("")!;
  for (const [name, property] of Object.entries(schema.properties)) {
    const cell = record.get(name);
    if (!cell) {
      faults.push({ row, column: 1, message: `column ${name} is missing` });
      continue;
    }
    value[name] = convert(property, cell.text);
    if (!Value.Check(property, value[name])) {
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

function convert(schema: TSchema, text: string): unknown {
  if (schema.type === "array") {
    return text === "" ? [] : text.split(LIST_SEPARATOR);
  }
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
  return `a valid ${schema.type}`;
}
