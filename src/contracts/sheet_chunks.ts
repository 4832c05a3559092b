import { createHash } from "node:crypto";
import type { TSchema } from "@sinclair/typebox";
import { type TypeCheck, TypeCompiler } from "@sinclair/typebox/compiler";
import { Value } from "@sinclair/typebox/value";
import { EMPTY_SHEET, SECTION_SCHEMAS, type Sheet } from "./sheet.ts";

/// A sheet as a tree of content-addressed chunks: a root names index chunks,
/// these name row chunks. Bounds depend on the rows' names only, so that an
/// edited row moves one row chunk, one index chunk and the root.

export interface Chunk {
  readonly hash: string;
  readonly bytes: Uint8Array;
}

/// The chunks of one sheet by their hash.
export interface SheetTree {
  readonly root: string;
  readonly chunks: ReadonlyMap<string, Uint8Array>;
}

/// The bytes of a chunk are not what its hash says, or don't make a sheet.
export class SheetChunkError extends Error {
  override readonly name = "SheetChunkError";
}

/// A section of a sheet and what identifies a row of it.
interface Section {
  readonly name: keyof Sheet;
  readonly schema: TSchema;
  readonly columns: readonly string[];
}

/// Sections in the order they are written in; `columns` identify a row.
export const SECTIONS: readonly Section[] = [
  { name: "options", schema: SECTION_SCHEMAS.options, columns: [] },
  { name: "customers", schema: SECTION_SCHEMAS.customers, columns: ["name"] },
  {
    name: "models",
    schema: SECTION_SCHEMAS.models,
    columns: ["customer", "model", "version"],
  },
  { name: "upstreams", schema: SECTION_SCHEMAS.upstreams, columns: ["name"] },
  {
    name: "operations",
    schema: SECTION_SCHEMAS.operations,
    columns: ["service", "method", "path"],
  },
];

/// One of so many rows ends a row chunk.
const ROWS_PER_CHUNK = 32;
/// One of so many row chunks ends an index chunk.
const CHUNKS_PER_INDEX = 64;
const MAXIMUM_ITEMS = 512;
const MAXIMUM_CHUNK_BYTES = 131_072;

type Row = Readonly<Record<string, unknown>>;

interface RootItem {
  readonly section: string;
  readonly index: string;
}

const hashOf = (bytes: Uint8Array | string) =>
  createHash("sha256").update(bytes).digest("base64url");

/// What identifies a row within its section.
export function rowKeyOf(section: Section, row: Row): string {
  return section.columns.map((column) => String(row[column])).join(" ");
}

/// A fast hash (FNV-1a with a final mix) that decides where groups end. All
/// versions have to agree on it, or an edit would move every chunk.
function boundHash(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  return (hash ^ (hash >>> 13)) >>> 0;
}

/// Something that goes into a chunk, as JSON.
interface Item {
  readonly identity: string;
  readonly json: string;
}

/// Groups items. A group ends at an item whose identity hashes to a multiple
/// of `mean`, or at a size limit.
function group(items: readonly Item[], mean: number): Item[][] {
  const groups: Item[][] = [];
  let current: Item[] = [];
  let size = 0;
  for (const item of items) {
    current.push(item);
    size += item.json.length;
    const ends = boundHash(item.identity) % mean === 0 ||
      current.length >= MAXIMUM_ITEMS || size >= MAXIMUM_CHUNK_BYTES;
    if (!ends) continue;
    groups.push(current);
    current = [];
    size = 0;
  }
  if (current.length > 0) groups.push(current);
  return groups;
}

/// Cuts a sheet into chunks.
export function splitSheet(sheet: Sheet): SheetTree {
  const chunks = new Map<string, Uint8Array>();
  const add = (items: readonly Item[]): string => {
    const text = items.map(({ json }) => json).join(",");
    const bytes = Buffer.from(`[${text}]`);
    const hash = hashOf(bytes);
    chunks.set(hash, bytes);
    return hash;
  };
  const root: Item[] = [];
  for (const section of SECTIONS) {
    const value = sheet[section.name];
    const rows = (Array.isArray(value) ? value : [value]) as readonly Row[];
    const items = rows.map((row) => ({
      identity: rowKeyOf(section, row),
      json: JSON.stringify(row),
    }));
    const parts = group(items, ROWS_PER_CHUNK).map((part) => ({
      identity: part[0]!.identity,
      json: JSON.stringify(add(part)),
    }));
    for (const part of group(parts, CHUNKS_PER_INDEX)) {
      const item: RootItem = { section: section.name, index: add(part) };
      root.push({ identity: item.index, json: JSON.stringify(item) });
    }
  }
  return { root: add(root), chunks };
}

/// Throws `SheetChunkError` unless the bytes have this hash.
export function verifyChunk({ hash, bytes }: Chunk): void {
  if (hashOf(bytes) !== hash) throw new SheetChunkError(`not chunk ${hash}`);
}

function parseChunk(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString());
  } catch (error) {
    throw new SheetChunkError("a chunk is not JSON", { cause: error });
  }
}

/// Index chunks of a root, with their sections.
export function readRoot(bytes: Uint8Array): readonly RootItem[] {
  return parseChunk(bytes) as RootItem[];
}

/// Hashes of the row chunks that an index chunk names.
export function readIndex(bytes: Uint8Array): readonly string[] {
  return parseChunk(bytes) as string[];
}

const checks = new Map<string, TypeCheck<TSchema>>();

function checkOf(section: Section): TypeCheck<TSchema> {
  let check = checks.get(section.name);
  if (!check) {
    check = TypeCompiler.Compile(section.schema);
    checks.set(section.name, check);
  }
  return check;
}

/// Rows of a chunk. A column that this version doesn't know is dropped and
/// one that an older version didn't write gets its default, so that versions
/// run side by side.
export function readRows(name: string, bytes: Uint8Array): readonly Row[] {
  const section = SECTIONS.find((candidate) => candidate.name === name);
  const rows = parseChunk(bytes) as unknown[];
  if (!section) return [];
  const check = checkOf(section);
  return rows.map((row) => {
    if (check.Check(row)) return row as Row;
    const fitted = Value.Clean(section.schema, row);
    const complete = Value.Default(section.schema, fitted);
    if (check.Check(complete)) return complete as Row;
    throw new SheetChunkError(`a row of ${name} doesn't fit its schema`);
  });
}

/// A sheet from its rows by section.
export function joinRows(
  parts: readonly { readonly section: string; readonly rows: readonly Row[] }[],
): Sheet {
  const sheet: Record<string, unknown> = { ...EMPTY_SHEET };
  const lists = new Map<string, Row[]>();
  for (const { section, rows } of parts) {
    const list = lists.get(section) ?? [];
    for (const row of rows) list.push(row);
    lists.set(section, list);
  }
  for (const { name } of SECTIONS) {
    const rows = lists.get(name) ?? [];
    sheet[name] = name === "options" ? rows[0] ?? EMPTY_SHEET.options : rows;
  }
  return sheet as Sheet;
}
