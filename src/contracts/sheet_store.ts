import { createHash } from "node:crypto";
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../platform/key_value_store.ts";
import { type AcceptedSheet, Sheet } from "./sheet.ts";

/// Where the accepted sheet lives in the platform's key-value service: a head
/// that names content-addressed chunks.

const HEAD_KEY = "sequoiaturn/sheet/head";
const CHUNK_PREFIX = "sequoiaturn/sheet/chunks/";
/// Rows of a section that share a chunk.
const ROWS_PER_CHUNK = 256;

export const SheetHead = Type.Object({
  revision: Type.Integer(),
  base: Type.Integer(),
  applyId: Type.String(),
  author: Type.String(),
  chunks: Type.Array(
    Type.Object({ section: Type.String(), hash: Type.String() }),
  ),
});
export type SheetHead = Static<typeof SheetHead>;

/// A request to put a sheet in force in place of revision `base`.
export interface SheetProposal {
  readonly sheet: Sheet;
  readonly base: number;
  /// Names this request. Repeating it with the same id is safe.
  readonly applyId: string;
  readonly author: string;
}

/// Another sheet was accepted since the proposal's base.
export class SheetConflictError extends Error {
  override readonly name = "SheetConflictError";
  readonly winner: SheetHead;
  constructor(winner: SheetHead) {
    super(`revision ${winner.revision} by ${winner.author} came first`);
    this.winner = winner;
  }
}

/// The store can't be asked now whether the proposal was accepted. Repeat it
/// with the same apply id.
export class SheetUndecidedError extends Error {
  override readonly name = "SheetUndecidedError";
}

export interface SheetStore {
  /// The newest accepted head, or undefined before the first.
  readHead(): Promise<SheetHead | undefined>;
  readSheet(head: SheetHead): Promise<AcceptedSheet>;
  /// Resolves once the proposal is accepted. Throws `SheetConflictError`,
  /// `SheetUndecidedError` or `StoreUnavailableError`.
  apply(proposal: SheetProposal): Promise<SheetHead>;
  /// Yields heads as they are accepted, until the signal aborts.
  watchHeads(signal: AbortSignal): AsyncIterable<SheetHead>;
}

interface Chunk {
  readonly section: string;
  readonly hash: string;
  readonly bytes: Buffer;
}

function splitIntoChunks(sheet: Sheet): Chunk[] {
  const chunks: Chunk[] = [];
  const add = (section: string, rows: readonly unknown[]) => {
    const bytes = Buffer.from(JSON.stringify(rows));
    const hash = createHash("sha256").update(bytes).digest("hex");
    chunks.push({ section, hash, bytes });
  };
  for (const [section, value] of Object.entries(sheet)) {
    const rows = Array.isArray(value) ? value : [value];
    for (let start = 0; start < rows.length; start += ROWS_PER_CHUNK) {
      add(section, rows.slice(start, start + ROWS_PER_CHUNK));
    }
  }
  return chunks;
}

function joinChunks(parts: readonly { section: string; rows: unknown[] }[]) {
  const sheet: Record<string, unknown> = {
    customers: [],
    models: [],
    upstreams: [],
    operations: [],
  };
  for (const { section, rows } of parts) {
    if (section === "options") sheet.options = rows[0];
    else (sheet[section] as unknown[]).push(...rows);
  }
  return Value.Parse(Sheet, sheet);
}

function parseHead(bytes: Uint8Array): SheetHead {
  return Value.Parse(SheetHead, JSON.parse(Buffer.from(bytes).toString()));
}

/// Creates a view of the sheet in `store`.
export function createSheetStore(store: KeyValueStore): SheetStore {
  const readStoredHead = async () => {
    const stored = await store.get(HEAD_KEY);
    return stored && { head: parseHead(stored.value), stored };
  };

  const writeMissingChunks = async (chunks: readonly Chunk[]) => {
    for (const chunk of chunks) {
      const key = CHUNK_PREFIX + chunk.hash;
      const put = { kind: "put", key, value: chunk.bytes } as const;
      await store.transact([{ key, modifiedRevision: 0 }], [put]);
    }
  };

  const writeHead = async (proposal: SheetProposal) => {
    const current = await readStoredHead();
    if (current?.head.applyId === proposal.applyId) return current.head;
    if ((current?.head.revision ?? 0) !== proposal.base) {
      throw current
        ? new SheetConflictError(current.head)
        : new StoreUnavailableError("the store has no sheet");
    }
    const chunks = splitIntoChunks(proposal.sheet);
    await writeMissingChunks(chunks);
    const head: SheetHead = {
      revision: proposal.base + 1,
      base: proposal.base,
      applyId: proposal.applyId,
      author: proposal.author,
      chunks: chunks.map(({ section, hash }) => ({ section, hash })),
    };
    const value = Buffer.from(JSON.stringify(head));
    const guard = {
      key: HEAD_KEY,
      modifiedRevision: current?.stored.modifiedRevision ?? 0,
    };
    const put = { kind: "put", key: HEAD_KEY, value } as const;
    const result = await store.transact([guard], [put]);
    return result.succeeded ? head : undefined;
  };

  const settle = async (proposal: SheetProposal) => {
    const current = await readStoredHead().catch((error: Error) => {
      throw new SheetUndecidedError("the store can't be asked", {
        cause: error,
      });
    });
    if (current?.head.applyId === proposal.applyId) return current.head;
    if (current && current.head.revision > proposal.base) {
      throw new SheetConflictError(current.head);
    }
    throw new SheetUndecidedError("the write was not answered");
  };

  return {
    async readHead() {
      return (await readStoredHead())?.head;
    },
    async readSheet(head) {
      const parts = await Promise.all(
        head.chunks.map(async ({ section, hash }) => {
          const stored = await store.get(CHUNK_PREFIX + hash);
          if (!stored) throw new StoreUnavailableError(`no chunk ${hash}`);
          const text = Buffer.from(stored.value).toString();
          return { section, rows: JSON.parse(text) as unknown[] };
        }),
      );
      return { revision: head.revision, sheet: joinChunks(parts) };
    },
    async apply(proposal) {
      try {
        return await writeHead(proposal) ?? await settle(proposal);
      } catch (error) {
        if (!(error instanceof StoreOutcomeUnknownError)) throw error;
        return await settle(proposal);
      }
    },
    async *watchHeads(signal) {
      const { revision } = await store.range(HEAD_KEY);
      for await (const event of store.watch(HEAD_KEY, revision, signal)) {
        if (event.kind === "put") yield parseHead(event.value.value);
      }
    },
  };
}
