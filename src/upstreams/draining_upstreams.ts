import { type Static, Type } from "@sinclair/typebox";
import type { ContractBook } from "../contracts/contract_book.ts";
import type { Upstream } from "../contracts/sheet.ts";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { VmList } from "../infrastructure/vm_list.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// Upstreams that leave and get no new work. The first VM that learns of a
/// departure tells all others, so that none depends on the platform's list,
/// which lags. A mark stays until the sheet drops the upstream or gives it
/// another address.

const UpstreamMark = Type.Object({
  upstream: Type.String(),
  address: Type.String(),
});
type UpstreamMark = Static<typeof UpstreamMark>;

const LeavingUpstreamMessage = defineMessage("upstream.leaving", UpstreamMark, {
  replaceKey: ({ upstream, address }) => `${upstream} ${address}`,
});

const LIST_INTERVAL_MILLISECONDS = 1_000;

export interface DrainingUpstreamsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly links: Links;
  readonly book: ContractBook;
  readonly vmList: VmList;
}

export interface DrainingUpstreams {
  isLeaving(upstream: Upstream): boolean;
  /// Marks the upstream of this name here and at every other VM. Returns
  /// whether the sheet has one.
  mark(name: string): boolean;
  close(): void;
}

export function createDrainingUpstreams(
  options: DrainingUpstreamsOptions,
): DrainingUpstreams {
  const { clock, links, book, log } = options;
  const marks = new Map<string, UpstreamMark>();
  const stop = new AbortController();
  let told: ReadonlySet<string> = new Set();

  const accept = (mark: UpstreamMark) => {
    const { upstream, address } = mark;
    if (marks.get(upstream)?.address === address) return;
    marks.set(upstream, mark);
    log.info("upstream leaves", { upstream, address });
    links.broadcast(LeavingUpstreamMessage, mark);
  };

  const mark = (name: string) => {
    const { upstreams } = book.current().sheet;
    const found = upstreams.find((upstream) => upstream.name === name);
    if (found) accept({ upstream: name, address: found.address });
    return found !== undefined;
  };

  const prune = () => {
    const kept = new Set(
      book.current().sheet.upstreams.map(({ name, address }) =>
        `${name} ${address}`
      ),
    );
    for (const [name, { address }] of marks) {
      if (!kept.has(`${name} ${address}`)) marks.delete(name);
    }
  };

  const tellNewPeers = () => {
    const peers = new Set(links.peers().map((peer) => peer.vm));
    for (const vm of peers) {
      if (told.has(vm)) continue;
      for (const known of marks.values()) {
        links.send(vm, LeavingUpstreamMessage, known);
      }
    }
    told = peers;
  };

  const followList = async () => {
    while (!stop.signal.aborted) {
      const vms = await options.vmList.read().catch(() => []);
      for (const { name, kind, state } of vms) {
        if (kind === "upstream" && state === "leaving") mark(name);
      }
      await clock.sleep(LIST_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  links.onMessage(LeavingUpstreamMessage, accept);
  links.onPeersChange(tellNewPeers);
  book.onChange(prune);
  void followList();

  return {
    isLeaving: ({ name, address }) => marks.get(name)?.address === address,
    mark,
    close: () => stop.abort(new Error("closed")),
  };
}
