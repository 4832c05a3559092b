import { Type } from "@sinclair/typebox";
import { StoreUnavailableError } from "../platform/key_value_store.ts";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { ContractBook } from "./contract_book.ts";
import { SheetHead, type SheetStore } from "./sheet_store.ts";

/// Keeps this VM on the newest accepted sheet: it watches the store and hears
/// of new heads from its peers.

const HeadMessage = defineMessage("sheet.head", SheetHead, {
  replaceKey: () => "head",
});
const RevisionMessage = defineMessage(
  "sheet.revision",
  Type.Object({ revision: Type.Integer() }),
  { replaceKey: () => "revision" },
);

const RETRY_MILLISECONDS = 500;

export interface SheetFollowerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly links: Links;
  readonly sheets: SheetStore;
  readonly book: ContractBook;
}

export interface SheetFollower {
  /// Whether the newest head known to the store or to peers is in force.
  isCurrent(): boolean;
  /// Adopts a head that was just accepted, and tells the peers.
  accept(head: SheetHead): Promise<void>;
  /// Revision in force at each connected VM, as last heard.
  revisions(): ReadonlyMap<string, number>;
  close(): void;
}

export function startSheetFollower(
  options: SheetFollowerOptions,
): SheetFollower {
  const { clock, log, links, sheets, book } = options;
  const stop = new AbortController();
  const revisions = new Map<string, number>();
  let newest: SheetHead | undefined;
  let started = false;

  const tellRevision = () => {
    const { revision } = book.current();
    links.broadcast(RevisionMessage, { revision });
  };

  const adopt = async (head: SheetHead) => {
    if (head.revision <= (newest?.revision ?? 0)) return;
    newest = head;
    links.broadcast(HeadMessage, head);
    while (book.current().revision < head.revision) {
      if (stop.signal.aborted || newest !== head) return;
      try {
        const accepted = await sheets.readSheet(head);
        if (book.adopt(accepted)) {
          log.info("sheet in force", { revision: accepted.revision });
        }
      } catch (error) {
        const reason = (error as Error).message;
        log.warn("sheet unreadable", { revision: head.revision, reason });
        await clock.sleep(RETRY_MILLISECONDS, stop.signal).catch(() => {});
      }
    }
    tellRevision();
  };

  const follow = async () => {
    while (!stop.signal.aborted) {
      try {
        const head = await sheets.readHead();
        if (head) await adopt(head);
        started = true;
        for await (const next of sheets.watchHeads(stop.signal)) {
          await adopt(next);
        }
      } catch (error) {
        if (!(error instanceof StoreUnavailableError)) {
          log.warn("sheet watch failed", { reason: String(error) });
        }
      }
      await clock.sleep(RETRY_MILLISECONDS, stop.signal).catch(() => {});
    }
  };

  links.onMessage(HeadMessage, (head) => void adopt(head));
  links.onMessage(RevisionMessage, ({ revision }, from) => {
    revisions.set(from.vm, revision);
  });
  links.onPeersChange(() => {
    if (newest) links.broadcast(HeadMessage, newest);
    tellRevision();
  });
  void follow();

  return {
    isCurrent: () =>
      started && book.current().revision >= (newest?.revision ?? 0),
    accept: adopt,
    revisions: () => revisions,
    close: () => stop.abort(new Error("closed")),
  };
}
