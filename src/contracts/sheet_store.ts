import { Value } from "@sinclair/typebox/value";
import {
  type KeyValueStore,
  type StoredValue,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../infrastructure/key_value_store.ts";
import type { Clock } from "../support/clock.ts";
import type { Sheet } from "./sheet.ts";
import { readIndex, readRoot, splitSheet } from "./sheet_chunks.ts";
import { applyOutcomeOf, createNextHead, SheetHead } from "./sheet_head.ts";

/// The accepted sheet in the platform's key-value service: one head, and the
/// chunks that it references.

const HEAD_KEY = "sequoiaturn/sheet/head";
export const CHUNK_PREFIX = "sequoiaturn/sheet/chunks/";
/// Changes with every collection of chunks. An apply writes its head only if
/// the key is unchanged, so that no chunk that it relies on can be deleted
/// before the head is written.
const COLLECTION_KEY = "sequoiaturn/sheet/collection";

/// Limits of chunks and of their bytes in one write.
const MAXIMUM_CHUNKS_PER_WRITE = 16;
const MAXIMUM_BYTES_PER_WRITE = 393_216;
/// Attempts to complete one apply, and the delay between them.
const MAXIMUM_ATTEMPTS = 6;
const RETRY_DELAY_MILLISECONDS = 250;

/// A request to put a sheet in force in place of revision `base`.
export interface SheetProposal {
  readonly sheet: Sheet;
  readonly base: number;
  /// Identifies this request. Retrying it with the same id is safe.
  readonly applyId: string;
  readonly author: string;
}

/// The outcome of an apply.
export interface AppliedSheet {
  readonly revision: number;
  /// The head that this apply wrote, or a later one if the apply was a retry.
  readonly head: SheetHead;
  /// Chunks of the sheet, empty if the apply was a retry.
  readonly chunks: ReadonlyMap<string, Uint8Array>;
}

/// Another sheet was accepted after the proposal's base revision.
export class SheetConflictError extends Error {
  override readonly name = "SheetConflictError";
  /// The head in force now.
  readonly currentHead: SheetHead;
  constructor(currentHead: SheetHead, detail?: string) {
    super(
      detail ??
        `revision ${currentHead.revision} by ${currentHead.author} is newer`,
    );
    this.currentHead = currentHead;
  }
}

/// It is not known yet whether the proposal was accepted. The caller retries
/// it with the same apply id.
export class SheetUndecidedError extends Error {
  override readonly name = "SheetUndecidedError";
}

/// A read of the store returned older state than is already known.
export class StaleReadError extends StoreUnavailableError {
  override readonly name = "StaleReadError";
}

export interface SheetStore {
  /// The newest accepted head, or undefined before the first. Throws
  /// `StaleReadError` if the store returns an older head than before.
  readHead(): Promise<SheetHead | undefined>;
  /// A chunk's bytes, or undefined if the store doesn't have it.
  readChunk(hash: string): Promise<Uint8Array | undefined>;
  /// Resolves once the proposal is accepted. Throws `SheetConflictError`,
  /// `SheetUndecidedError`, or `StoreUnavailableError` if it was certainly
  /// not accepted.
  apply(proposal: SheetProposal): Promise<AppliedSheet>;
  /// Yields heads as they are accepted, until the signal aborts.
  watchHeads(signal: AbortSignal): AsyncIterable<SheetHead>;
  /// Deletes `chunks`, all or none, if `head` is still the newest and no chunk
  /// was rewritten. Resolves to whether the chunks were deleted.
  deleteChunks(
    head: SheetHead,
    chunks: readonly StoredValue[],
  ): Promise<boolean>;
  /// Stored chunks whose hash starts with `prefix`.
  listChunks(prefix: string): Promise<readonly StoredValue[]>;
}

interface StoredHead {
  readonly head: SheetHead;
  readonly modifiedRevision: number;
}

function parseHead(stored: StoredValue): StoredHead {
  const text = Buffer.from(stored.value).toString();
  const head = Value.Parse(SheetHead, JSON.parse(text));
  return { head, modifiedRevision: stored.modifiedRevision };
}

function toBatches(chunks: ReadonlyMap<string, Uint8Array>) {
  const batches: [string, Uint8Array][][] = [];
  let bytes = Infinity;
  for (const chunk of chunks) {
    const last = batches.at(-1);
    bytes += chunk[1].length;
    if (
      last && bytes <= MAXIMUM_BYTES_PER_WRITE &&
      last.length < MAXIMUM_CHUNKS_PER_WRITE
    ) {
      last.push(chunk);
      continue;
    }
    batches.push([chunk]);
    bytes = chunk[1].length;
  }
  return batches;
}

/// Creates a client for the sheet in `store`.
export function createSheetStore(
  { store, clock }: { store: KeyValueStore; clock: Clock },
): SheetStore {
  let newest: StoredHead | undefined;

  /// Reads the head. Throws `StaleReadError` if an earlier read was newer.
  const readStoredHead = async (): Promise<StoredHead | undefined> => {
    const stored = await store.get(HEAD_KEY);
    const read = stored && parseHead(stored);
    if ((read?.head.revision ?? 0) < (newest?.head.revision ?? 0)) {
      throw new StaleReadError("the store answered with an older head");
    }
    if (read) newest = read;
    return read;
  };

  const readChunk = async (hash: string) =>
    (await store.get(CHUNK_PREFIX + hash))?.value;

  /// Hashes that `head` references. They can't be collected while it is the
  /// newest.
  const readReferencedHashes = async (head: SheetHead | undefined) => {
    const hashes = new Set<string>();
    if (!head) return hashes;
    const root = await readChunk(head.root);
    if (!root) return hashes;
    hashes.add(head.root);
    const items = readRoot(root);
    const indexes = await Promise.all(
      items.map(({ index }) => readChunk(index)),
    );
    for (const [position, bytes] of indexes.entries()) {
      if (!bytes) continue;
      hashes.add(items[position]!.index);
      for (const hash of readIndex(bytes)) hashes.add(hash);
    }
    return hashes;
  };

  const writeChunks = async (chunks: ReadonlyMap<string, Uint8Array>) => {
    for (const batch of toBatches(chunks)) {
      await store.transact(
        [],
        batch.map(([hash, value]) => ({
          kind: "put",
          key: CHUNK_PREFIX + hash,
          value,
        })),
      );
    }
  };

  /// Writes the chunks and then the head. Resolves to undefined when another
  /// head or a collection was written in between.
  const writeHead = async (
    proposal: SheetProposal,
    current: StoredHead | undefined,
  ): Promise<AppliedSheet | undefined> => {
    const collection = (await store.get(COLLECTION_KEY))?.modifiedRevision ?? 0;
    const { root, chunks } = splitSheet(proposal.sheet);
    const referenced = await readReferencedHashes(current?.head);
    const missing = [...chunks].filter(([hash]) => !referenced.has(hash));
    try {
      await writeChunks(new Map(missing));
    } catch (error) {
      // Chunks have no effect without a head, so the outcome is certain.
      throw new StoreUnavailableError("chunks not written", { cause: error });
    }
    const { applyId, author } = proposal;
    const time = clock.wallTime();
    const head = createNextHead(current?.head, { root, applyId, author, time });
    const value = Buffer.from(JSON.stringify(head));
    const guards = [
      { key: HEAD_KEY, modifiedRevision: current?.modifiedRevision ?? 0 },
      { key: COLLECTION_KEY, modifiedRevision: collection },
    ];
    const put = { kind: "put", key: HEAD_KEY, value } as const;
    const result = await store.transact(guards, [put]);
    if (!result.succeeded) return undefined;
    newest = { head, modifiedRevision: result.revision };
    return { revision: head.revision, head, chunks };
  };

  const resolveOutcome = (
    proposal: SheetProposal,
    current: StoredHead | undefined,
  ): AppliedSheet | undefined => {
    const { base } = proposal;
    const head = current?.head;
    switch (applyOutcomeOf(head, proposal)) {
      case "accepted":
        return { revision: base + 1, head: head!, chunks: new Map() };
      case "lost":
        throw new SheetConflictError(head!);
      case "forgotten":
        throw new SheetConflictError(
          head!,
          `revision ${base + 1} is too old to tell who applied it`,
        );
      case "pending":
        if ((head?.revision ?? 0) === base) return undefined;
        throw new StaleReadError(`the store has no revision ${base}`);
    }
  };

  /// Makes one attempt. Resolves to undefined when it has to be retried.
  const attemptApply = async (proposal: SheetProposal) => {
    const current = await readStoredHead();
    return resolveOutcome(proposal, current) ??
      await writeHead(proposal, current);
  };

  return {
    readChunk,
    async readHead() {
      return (await readStoredHead())?.head;
    },
    async apply(proposal) {
      // A write whose response was lost may still take effect. A retry under
      // the same conditions settles the outcome: one of the two writes
      // succeeds, or another apply has been accepted.
      let unknown = false;
      let cause: unknown;
      for (let count = 0; count < MAXIMUM_ATTEMPTS; count++) {
        if (count > 0) await clock.sleep(RETRY_DELAY_MILLISECONDS);
        try {
          const decided = await attemptApply(proposal);
          if (decided) return decided;
        } catch (error) {
          cause = error;
          if (error instanceof StoreOutcomeUnknownError) unknown = true;
          else if (!(error instanceof StoreUnavailableError)) throw error;
        }
      }
      if (!unknown && cause instanceof StoreUnavailableError) throw cause;
      throw new SheetUndecidedError("the store can't be asked", { cause });
    },
    async *watchHeads(signal) {
      const { revision, values } = await store.range(HEAD_KEY);
      for (const stored of values) yield parseHead(stored).head;
      for await (const event of store.watch(HEAD_KEY, revision, signal)) {
        if (event.kind === "put") yield parseHead(event.value).head;
      }
    },
    async deleteChunks(head, chunks) {
      const current = await readStoredHead();
      if (!current || current.head.revision !== head.revision) return false;
      const guards = [
        { key: HEAD_KEY, modifiedRevision: current.modifiedRevision },
        ...chunks.map(({ key, modifiedRevision }) => ({
          key,
          modifiedRevision,
        })),
      ];
      const deletes = chunks.map(({ key }) => ({
        kind: "delete" as const,
        key,
      }));
      const mark = Buffer.from(String(head.revision));
      const put = { kind: "put", key: COLLECTION_KEY, value: mark } as const;
      return (await store.transact(guards, [put, ...deletes])).succeeded;
    },
    async listChunks(prefix) {
      return (await store.range(CHUNK_PREFIX + prefix)).values;
    },
  };
}
