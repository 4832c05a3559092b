import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { randomInteger, type RandomSource } from "../support/random.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import { readIndex, readRoot } from "./sheet_chunks.ts";
import { acceptancesOf, type SheetHead } from "./sheet_head.ts";
import { CHUNK_PREFIX, type SheetStore } from "./sheet_store.ts";

/// Garbage collection of stored chunks that no recent sheet references. Each
/// sweep lists a small part of the hashes, so that its reads stay small at any
/// size.

/// The newest revisions, whose chunks are retained regardless of age.
const RETAINED_REVISIONS = 16;
/// Time for which a replaced sheet's chunks are retained for slow readers.
const RETENTION_MILLISECONDS = 600_000;
const SWEEP_INTERVAL_MILLISECONDS = 60_000;
/// Alphabet of hashes; a sweep covers the hashes with one first character.
const HASH_CHARACTERS =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
/// Chunks that one write deletes at most.
const MAXIMUM_DELETIONS_PER_WRITE = 64;

export interface SheetCollectorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly links: Links;
  readonly sheets: SheetStore;
}

export interface SheetCollector {
  /// Deletes unreferenced chunks whose hash starts with `prefix`. Resolves to
  /// the number deleted.
  sweep(prefix: string): Promise<number>;
  close(): void;
}

/// Whether the chunks of a revision are retained: it is among the newest, or
/// was replaced less than the retention time ago.
function isRetained(
  position: number,
  replacedAt: Milliseconds,
  now: Milliseconds,
): boolean {
  return position < RETAINED_REVISIONS ||
    now - replacedAt < RETENTION_MILLISECONDS;
}

/// Roots of the revisions whose chunks are retained.
function retainedRoots(head: SheetHead, now: Milliseconds): readonly string[] {
  const acceptances = acceptancesOf(head);
  return acceptances
    .filter((_, position) =>
      isRetained(position, acceptances[position - 1]?.time ?? now, now)
    )
    .map(({ root }) => root);
}

export function startSheetCollector(
  options: SheetCollectorOptions,
): SheetCollector {
  const { clock, random, log, links, sheets } = options;
  const stop = new AbortController();

  const readChunk = async (hash: string) => {
    const bytes = await sheets.readChunk(hash);
    if (!bytes) throw new Error(`missing chunk ${hash}`);
    return bytes;
  };

  /// Every hash that a retained revision references.
  const collectReferencedHashes = async (
    head: SheetHead,
  ): Promise<Set<string>> => {
    const hashes = new Set<string>();
    const indexes = new Set<string>();
    for (const root of new Set(retainedRoots(head, clock.wallTime()))) {
      hashes.add(root);
      for (const { index } of readRoot(await readChunk(root))) {
        indexes.add(index);
      }
    }
    for (const index of indexes) {
      hashes.add(index);
      for (const hash of readIndex(await readChunk(index))) hashes.add(hash);
    }
    return hashes;
  };

  const sweep = async (prefix: string): Promise<number> => {
    const head = await sheets.readHead();
    if (!head) return 0;
    const stored = await sheets.listChunks(prefix);
    const referenced = await collectReferencedHashes(head);
    const unreferenced = stored
      .filter(({ key }) => !referenced.has(key.slice(CHUNK_PREFIX.length)))
      .slice(0, MAXIMUM_DELETIONS_PER_WRITE);
    if (unreferenced.length === 0) return 0;
    const deleted = await sheets.deleteChunks(head, unreferenced);
    return deleted ? unreferenced.length : 0;
  };

  const isCollector = () => {
    const vms = [...links.peers().map(({ vm }) => vm), links.self.vm];
    return rankByRendezvous("sheet.collect", vms)[0] === links.self.vm;
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      await clock.sleep(SWEEP_INTERVAL_MILLISECONDS, stop.signal).catch(
        () => {},
      );
      if (stop.signal.aborted || !isCollector()) continue;
      const start = HASH_CHARACTERS[
        randomInteger(random, HASH_CHARACTERS.length)
      ]!;
      try {
        const count = await sweep(start);
        if (count > 0) log.info("unreferenced sheet chunks deleted", { count });
      } catch (error) {
        log.warn("sweep of sheet chunks failed", {
          reason: (error as Error).message,
        });
      }
    }
  };

  void run();

  return { sweep, close: () => stop.abort(new Error("closed")) };
}
