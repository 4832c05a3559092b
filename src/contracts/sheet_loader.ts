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

/// Loads the chunks of a sheet. Chunks of the last loaded sheet are kept in
/// memory; missing ones are requested from peers first and then read from the
/// store.

/// Chunks requested from one peer in one call.
const MAXIMUM_HASHES_PER_CALL = 64;
/// Bytes of chunks in one reply; the caller requests the rest in further calls.
const MAXIMUM_REPLY_BYTES = 262_144;
/// Peers that are queried for chunks before the store is read.
const MAXIMUM_SOURCES = 3;
/// Chunks that are read from the store concurrently.
const CONCURRENT_STORE_READS = 8;

export interface SheetLoaderOptions {
  readonly links: Links;
  readonly sheets: SheetStore;
}

export interface SheetLoader {
  /// Loads the sheet that `head` references. Queries the VMs of `sources`
  /// first, in their order. Throws when a chunk is unavailable.
  load(head: SheetHead, sources: readonly string[]): Promise<AcceptedSheet>;
  /// Adds chunks of a sheet that is loaded next. They are not verified.
  add(chunks: ReadonlyMap<string, Uint8Array>): void;
  /// Those chunks of `hashes` that this VM holds, up to a total size.
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

  const addVerified = (hash: string, bytes: Uint8Array) => {
    verifyChunk({ hash, bytes });
    chunks.set(hash, bytes);
  };

  const missingOf = (hashes: readonly string[]) =>
    hashes.filter((hash) => !chunks.has(hash));

  const fetchFromPeer = async (vm: string, hashes: readonly string[]) => {
    let missing = missingOf(hashes);
    while (missing.length > 0) {
      const requested = missing.slice(0, MAXIMUM_HASHES_PER_CALL);
      const reply = await links.call(vm, ChunksCall, { hashes: requested });
      if (reply.chunks.length === 0) return;
      for (const { hash, bytes } of reply.chunks) addVerified(hash, bytes);
      missing = missingOf(missing);
    }
  };

  const fetchFromStore = async (hashes: readonly string[]) => {
    const missing = missingOf(hashes);
    const readChunks = async () => {
      while (true) {
        const hash = missing.pop();
        if (hash === undefined) return;
        const bytes = await sheets.readChunk(hash);
        if (bytes) addVerified(hash, bytes);
      }
    };
    await Promise.all(
      Array.from({ length: CONCURRENT_STORE_READS }, readChunks),
    );
  };

  const fetchChunks = async (
    hashes: readonly string[],
    sources: readonly string[],
  ): Promise<void> => {
    for (const vm of sources.slice(0, MAXIMUM_SOURCES)) {
      // Chunks that this peer doesn't return are requested from the next one.
      await fetchFromPeer(vm, hashes).catch(() => {});
    }
    await fetchFromStore(hashes);
    const missing = missingOf(hashes);
    if (missing.length > 0) throw new Error(`missing chunk ${missing[0]}`);
  };

  const bytesOf = (hash: string) => chunks.get(hash)!;

  const rowsOf = (section: string, hash: string): Rows => {
    const key = `${section} ${hash}`;
    const decoded = rows.get(key) ?? readRows(section, bytesOf(hash));
    rows.set(key, decoded);
    return decoded;
  };

  return {
    async load(head, sources) {
      await fetchChunks([head.root], sources);
      const items = readRoot(bytesOf(head.root));
      const indexes = items.map(({ index }) => index);
      await fetchChunks(indexes, sources);
      const parts = items.flatMap(({ section, index }) =>
        readIndex(bytesOf(index)).map((hash) => ({ section, hash }))
      );
      const hashes = parts.map(({ hash }) => hash);
      await fetchChunks(hashes, sources);
      const joined = parts.map(({ section, hash }) => ({
        section,
        rows: rowsOf(section, hash),
      }));
      // Keeps only the chunks of this sheet and those added for a newer one.
      const referenced = new Set([head.root, ...indexes, ...hashes]);
      if (added.has(head.root)) added = new Set();
      chunks = new Map(
        [...chunks].filter(([hash]) => referenced.has(hash) || added.has(hash)),
      );
      rows = new Map(
        joined.map((part, position) => [
          `${part.section} ${parts[position]!.hash}`,
          part.rows,
        ]),
      );
      return { revision: head.revision, sheet: joinRows(joined) };
    },
    add(newChunks) {
      for (const [hash, bytes] of newChunks) {
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
        if (held.length > 0 && size > MAXIMUM_REPLY_BYTES) break;
        held.push({ hash, bytes });
      }
      return held;
    },
  };
}
