import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { randomInteger, type RandomSource } from "../support/random.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import { readIndex, readRoot } from "./sheet_chunks.ts";
import { acceptancesOf, type SheetHead } from "./sheet_head.ts";
import { CHUNK_PREFIX, type SheetStore } from "./sheet_store.ts";

/// Deletes stored chunks that no recent sheet names. Each sweep looks at a
/// small part of the hashes, so that its reads stay small at any size.

/// Newest revisions whose chunks are kept whatever their age.
const KEPT_REVISIONS = 16;
/// Time that a replaced sheet's chunks are kept for a slow reader.
const GRACE_MILLISECONDS = 600_000;
const SWEEP_MILLISECONDS = 60_000;
/// Characters that hashes are written in; a sweep takes those with one start.
const HASH_CHARACTERS =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Chunks that one write deletes at most.
const DELETES_PER_WRITE = 64;

export interface SheetCollectorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
  readonly sheets: SheetStore;
}

export interface SheetCollector {
  /// Deletes unnamed chunks whose hash starts with `prefix`. Resolves to how
  /// many went.
  sweep(prefix: string): Promise<number>;
  close(): void;
}

/// Whether the chunks of a revision are kept: it is among the newest, or it
/// was replaced less than the grace ago.
function isKept(
  position: number,
  replacedAt: Milliseconds,
  now: Milliseconds,
): boolean {
  return position < KEPT_REVISIONS || now - replacedAt < GRACE_MILLISECONDS;
}

/// Roots of the revisions whose chunks are kept.
function keptRoots(head: SheetHead, now: Milliseconds): readonly string[] {
  const acceptances = acceptancesOf(head);
  return acceptances
    .filter((_, position) =>
      isKept(position, acceptances[position - 1]?.time ?? now, now)
    )
    .map(({ root }) => root);
}

export function startSheetCollector(
  options: SheetCollectorOptions,
): SheetCollector {
  const { clock, random, log, links, sheets } = options;
  const stop = new AbortController();

  const requireBytes = async (hash: string) => {
    const bytes = await sheets.readChunk(hash);
    if (!bytes) throw new Error(`no chunk ${hash}`);
    return bytes;
  };

  /// Every hash that a kept revision names.
  const namedHashes = async (head: SheetHead): Promise<Set<string>> => {
    const named = new Set<string>();
    const indexes = new Set<string>();
    for (const root of new Set(keptRoots(head, clock.wallTime()))) {
      named.add(root);
      for (const { index } of readRoot(await requireBytes(root))) {
        indexes.add(index);
      }
    }
    for (const index of indexes) {
      named.add(index);
      for (const hash of readIndex(await requireBytes(index))) named.add(hash);
    }
    return named;
  };

  const sweep = async (prefix: string): Promise<number> => {
    const head = await sheets.readHead();
    if (!head) return 0;
    const stored = await sheets.listChunks(prefix);
    const named = await namedHashes(head);
    const unnamed = stored
      .filter(({ key }) => !named.has(key.slice(CHUNK_PREFIX.length)))
      .slice(0, DELETES_PER_WRITE);
    if (unnamed.length === 0) return 0;
    const deleted = await sheets.deleteChunks(head, unnamed);
    return deleted ? unnamed.length : 0;
  };

  const isChosen = () => {
    const vms = [...links.peers().map(({ vm }) => vm), links.self.vm];
    return rankByRendezvous("sheet.collect", vms)[0] === links.self.vm;
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      await clock.sleep(SWEEP_MILLISECONDS, stop.signal).catch(() => {});
      if (stop.signal.aborted || !isChosen()) continue;
      const start = HASH_CHARACTERS[
        randomInteger(random, HASH_CHARACTERS.length)
      ]!;
      try {
        const count = await sweep(start);
        if (count > 0) log.info("chunks deleted", { count });
      } catch (error) {
        log.warn("sweep failed", { reason: (error as Error).message });
      }
    }
  };

  void run();

  return { sweep, close: () => stop.abort(new Error("closed")) };
}
