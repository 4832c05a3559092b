import { isIP } from "node:net";
import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { Value } from "@sinclair/typebox/value";
import { parseSocketAddress } from "../support/socket_address.ts";
import { Sheet } from "./sheet.ts";

/// Checks a sheet beyond the types of its columns: duplicate names, and
/// references to names that don't exist.

/// A fault in a sheet. For a sheet in CSV it has row and column, both counted
/// from one; for a sheet in JSON, the path of the value.
export const SheetFault = Type.Object({
  row: Type.Optional(Type.Integer()),
  column: Type.Optional(Type.Integer()),
  path: Type.Optional(Type.String()),
  message: Type.String(),
});
export type SheetFault = Static<typeof SheetFault>;

/// The sheet is not valid. Contains every fault found.
export class SheetFaultsError extends Error {
  override readonly name = "SheetFaultsError";
  readonly faults: readonly SheetFault[];
  constructor(faults: readonly SheetFault[]) {
    super(`the sheet has ${faults.length} fault(s)`);
    this.faults = faults;
  }
}

/// A fault in one column of one row of a section.
export interface RowFault {
  readonly section: keyof Sheet;
  readonly index: number;
  readonly column: string;
  readonly message: string;
}

/// A row whose columns may have the wrong type.
type UncheckedRow = Readonly<Record<string, unknown>>;
/// A sheet as it was read, before its types are checked.
export type UncheckedSheet = Readonly<
  Partial<Record<keyof Sheet, readonly UncheckedRow[]>>
>;

interface Occurrence {
  readonly index: number;
  readonly value: string;
}

/// Every occurrence of a value after its first.
function findDuplicates(occurrences: readonly Occurrence[]): Occurrence[] {
  const seen = new Set<string>();
  return occurrences.filter(({ value }) => {
    if (seen.has(value)) return true;
    seen.add(value);
    return false;
  });
}

/// Finds duplicates and references to rows that don't exist.
export function checkReferences(sheet: UncheckedSheet): readonly RowFault[] {
  const faults: RowFault[] = [];
  const rowsOf = (section: keyof Sheet) => sheet[section] ?? [];
  const textOf = (row: UncheckedRow, columns: readonly string[]) =>
    columns.map((column) => String(row[column])).join(" ");

  const requireUnique = (section: keyof Sheet, columns: readonly string[]) => {
    const occurrences = rowsOf(section).map((row, index) => ({
      index,
      value: textOf(row, columns),
    }));
    for (const { index, value } of findDuplicates(occurrences)) {
      const message = `${columns.join(", ")}: "${value}" stands twice`;
      faults.push({ section, index, column: columns[0]!, message });
    }
  };

  const requireKnown = (
    section: keyof Sheet,
    column: string,
    known: { readonly names: ReadonlySet<string>; readonly of: string },
  ) => {
    for (const [index, row] of rowsOf(section).entries()) {
      const name = row[column];
      if (typeof name !== "string" || known.names.has(name)) continue;
      const message = `${column}: no ${known.of} is called "${name}"`;
      faults.push({ section, index, column, message });
    }
  };

  requireUnique("customers", ["name"]);
  requireUnique("models", ["customer", "model", "version"]);
  requireUnique("upstreams", ["name"]);
  requireUnique("upstreams", ["address"]);
  requireUnique("operations", ["service", "method", "path"]);

  for (const [index, { address }] of rowsOf("upstreams").entries()) {
    if (typeof address !== "string") continue;
    if (isIP(parseSocketAddress(address)?.host ?? "") > 0) continue;
    const message = `address: "${address}" is no IP address with a port`;
    faults.push({ section: "upstreams", index, column: "address", message });
  }

  const hashes = rowsOf("customers").flatMap(({ keyHashes }, index) =>
    Array.isArray(keyHashes)
      ? keyHashes.map((hash) => ({ index, value: String(hash) }))
      : []
  );
  for (const { index, value } of findDuplicates(hashes)) {
    const message = `keyHashes: key hash ${value} is used twice`;
    faults.push({ section: "customers", index, column: "keyHashes", message });
  }

  const customers = rowsOf("customers").map(({ name }) => String(name));
  requireKnown("models", "customer", {
    names: new Set(customers),
    of: "customer",
  });
  const services = rowsOf("upstreams")
    .filter(({ kind }) => kind === "service")
    .map(({ serves }) => String(serves));
  requireKnown("operations", "service", {
    names: new Set(services),
    of: "service",
  });

  const readable = new Set(
    rowsOf("operations")
      .filter(({ method, idempotent }) => method === "GET" && idempotent)
      .map((row) => textOf(row, ["service", "path"])),
  );
  for (const [index, row] of rowsOf("operations").entries()) {
    const { statusPath } = row;
    if (!statusPath) continue;
    if (readable.has(textOf(row, ["service", "statusPath"]))) continue;
    const message =
      `statusPath: no idempotent GET operation has path "${statusPath}"`;
    faults.push({
      section: "operations",
      index,
      column: "statusPath",
      message,
    });
  }
  return faults;
}

const SHEET_CHECK = TypeCompiler.Compile(Sheet);
/// Limit of the type faults that are reported. Faults of references are
/// reported in addition.
const MAXIMUM_FAULTS = 1_000;

/// Checks the value and returns it as a sheet. Throws `SheetFaultsError` with
/// its faults.
export function checkSheet(value: unknown): Sheet {
  const faults: SheetFault[] = [];
  const matches = SHEET_CHECK.Check(value) ||
    SHEET_CHECK.Check(Value.Default(Sheet, value));
  for (const { path, message } of matches ? [] : Value.Errors(Sheet, value)) {
    if (faults.push({ path, message }) >= MAXIMUM_FAULTS) break;
  }
  const readable = faults.every(({ path }) =>
    path!.split("/").length > 3 || path!.startsWith("/options")
  );
  if (readable) {
    const { options: _, ...sections } = value as Record<string, UncheckedRow[]>;
    for (const fault of checkReferences(sections)) {
      const path = `/${fault.section}/${fault.index}/${fault.column}`;
      faults.push({ path, message: fault.message });
    }
  }
  if (faults.length > 0) throw new SheetFaultsError(faults);
  return value as Sheet;
}

/// Describes content that is allowed in a sheet but may be a mistake.
export function warningsOf(sheet: Sheet): readonly string[] {
  const served = new Set(
    sheet.upstreams.filter(({ kind }) => kind === "engine")
      .map(({ serves }) => serves),
  );
  const models = new Set(sheet.models.map(({ model }) => model));
  return [...models].filter((model) => !served.has(model))
    .map((model) => `no engine serves model "${model}" yet`);
}
