import type { Links } from "../links/links.ts";
import type { AcceptedSheet } from "./sheet.ts";
import {
  joinRows,
  readIndex,
  readRoot,
  readRows,
  verifyChunk,
} from "./sheet_chunks.ts";
import type { SheetHead } from "./sheet_head.ts";
import { ChunksCall } from "./sheet_messages.ts";
import type { SheetStore } from "./sheet_store.ts";

/// Gathers the chunks of a sheet: those of the sheet in force are kept, the
/// others are asked of peers first and of the store last.

/// Chunks asked of one peer in one call.
const HASHES_PER_CALL = 64;
/// Bytes of chunks in one answer; the asker asks again for the rest.
const BYTES_PER_ANSWER = 262_144;
/// Peers asked for chunks before the store is.
const PEERS_ASKED = 3;
/// Chunks read from the store at once.
const READS_AT_ONCE = 8;

export interface SheetLoaderOptions {
  readonly links: Links;
  readonly sheets: SheetStore;
}

export interface SheetLoader {
  /// The sheet that `head` names. Asks `sources` first, in their order.
  /// Throws when a chunk can't be had.
  load(head: SheetHead, sources: readonly string[]): Promise<AcceptedSheet>;
  /// Keeps chunks for the next sheet that is loaded.
  add(chunks: ReadonlyMap<string, Uint8Array>): void;
  /// Chunks of `hashes` that this VM holds, up to a size.
  held(hashes: readonly string[]): { hash: string; bytes: Uint8Array }[];
}

type Rows = ReturnType<typeof readRows>;

export function createSheetLoader(
  { links, sheets }: SheetLoaderOptions,
): SheetLoader {
  let chunks = new Map<string, Uint8Array>();
  let rows = new Map<string, Rows>();
  /// Hashes that were added for a sheet that is not loaded yet.
  let added = new Set<string>();

  const keep = (hash: string, bytes: Uint8Array) => {
    verifyChunk({ hash, bytes });
    chunks.set(hash, bytes);
  };

  const missingOf = (hashes: readonly string[]) =>
    hashes.filter((hash) => !chunks.has(hash));

  const askPeer = async (vm: string, hashes: readonly string[]) => {
    let missing = missingOf(hashes);
    while (missing.length > 0) {
      const asked = missing.slice(0, HASHES_PER_CALL);
      const reply = await links.call(vm, ChunksCall, { hashes: asked });
      if (reply.chunks.length === 0) return;
      for (const { hash, bytes } of reply.chunks) keep(hash, bytes);
      missing = missingOf(missing);
    }
  };

  const readStore = async (hashes: readonly string[]) => {
    const missing = missingOf(hashes);
    const next = async () => {
      while (true) {
        const hash = missing.pop();
        if (hash === undefined) return;
        const bytes = await sheets.readChunk(hash);
        if (bytes) keep(hash, bytes);
      }
    };
    await Promise.all(Array.from({ length: READS_AT_ONCE }, next));
  };

  const gather = async (
    hashes: readonly string[],
    sources: readonly string[],
  ): Promise<void> => {
    for (const vm of sources.slice(0, PEERS_ASKED)) {
      // A peer that fails leaves its share to the next source.
      await askPeer(vm, hashes).catch(() => {});
    }
    await readStore(hashes);
    const missing = missingOf(hashes);
    if (missing.length > 0) throw new Error(`no chunk ${missing[0]}`);
  };

  const bytesOf = (hash: string) => chunks.get(hash)!;

  const rowsOf = (section: string, hash: string): Rows => {
    const key = `${section} ${hash}`;
    const found = rows.get(key) ?? readRows(section, bytesOf(hash));
    rows.set(key, found);
    return found;
  };

  return {
    async load(head, sources) {
      await gather([head.root], sources);
      const items = readRoot(bytesOf(head.root));
      const indexes = items.map(({ index }) => index);
      await gather(indexes, sources);
      const parts = items.flatMap(({ section, index }) =>
        readIndex(bytesOf(index)).map((hash) => ({ section, hash }))
      );
      const hashes = parts.map(({ hash }) => hash);
      await gather(hashes, sources);
      const joined = parts.map(({ section, hash }) => ({
        section,
        rows: rowsOf(section, hash),
      }));
      // Only the chunks of the newest sheet are kept.
      const named = new Set([head.root, ...indexes, ...hashes]);
      if (added.has(head.root)) added = new Set();
      chunks = new Map(
        [...chunks].filter(([hash]) => named.has(hash) || added.has(hash)),
      );
      rows = new Map(
        joined.map((part, position) => [
          `${part.section} ${parts[position]!.hash}`,
          part.rows,
        ]),
      );
      return { revision: head.revision, sheet: joinRows(joined) };
    },
    add(given) {
      for (const [hash, bytes] of given) {
        chunks.set(hash, bytes);
        added.add(hash);
      }
    },
    held(hashes) {
      const held: { hash: string; bytes: Uint8Array }[] = [];
      let size = 0;
      for (const hash of hashes) {
        const bytes = chunks.get(hash);
        if (!bytes) continue;
        size += bytes.length;
        if (held.length > 0 && size > BYTES_PER_ANSWER) break;
        held.push({ hash, bytes });
      }
      return held;
    },
  };
}
