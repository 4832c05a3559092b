import { type Static, Type } from "@sinclair/typebox";
import type { ContractBook } from "../contracts/contract_book.ts";
import type { Upstream } from "../contracts/sheet.ts";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { VmList } from "../infrastructure/vm_list.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// Upstreams that are draining and get no new work. The first VM that detects
/// this broadcasts it, so that no VM depends on the platform's VM list, which
/// lags. A mark stays until the sheet removes the upstream or changes its
/// address.

const DrainingMark = Type.Object({
  upstream: Type.String(),
  address: Type.String(),
});
type DrainingMark = Static<typeof DrainingMark>;

const DrainingMessage = defineMessage("upstream.leaving", DrainingMark, {
  replaceKey: ({ upstream, address }) => `${upstream} ${address}`,
});

const VM_LIST_INTERVAL_MILLISECONDS = 1_000;

export interface DrainingUpstreamsOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly links: Links;
  readonly book: ContractBook;
  readonly vmList: VmList;
}

export interface DrainingUpstreams {
  isDraining(upstream: Upstream): boolean;
  /// Marks the upstream of this name as draining on all VMs. Returns whether
  /// the sheet has one.
  mark(name: string): boolean;
  close(): void;
}

export function createDrainingUpstreams(
  options: DrainingUpstreamsOptions,
): DrainingUpstreams {
  const { clock, links, book, log } = options;
  const marks = new Map<string, DrainingMark>();
  const stop = new AbortController();
  let notifiedPeers: ReadonlySet<string> = new Set();

  const addMark = (mark: DrainingMark) => {
    const { upstream, address } = mark;
    if (marks.get(upstream)?.address === address) return;
    marks.set(upstream, mark);
    log.info("upstream is draining", { upstream, address });
    links.broadcast(DrainingMessage, mark);
  };

  const mark = (name: string) => {
    const { upstreams } = book.current().sheet;
    const found = upstreams.find((upstream) => upstream.name === name);
    if (found) addMark({ upstream: name, address: found.address });
    return found !== undefined;
  };

  const prune = () => {
    const listed = new Set(
      book.current().sheet.upstreams.map(({ name, address }) =>
        `${name} ${address}`
      ),
    );
    for (const [name, { address }] of marks) {
      if (!listed.has(`${name} ${address}`)) marks.delete(name);
    }
  };

  const notifyNewPeers = () => {
    const peers = new Set(links.peers().map((peer) => peer.vm));
    for (const vm of peers) {
      if (notifiedPeers.has(vm)) continue;
      for (const each of marks.values()) {
        links.send(vm, DrainingMessage, each);
      }
    }
    notifiedPeers = peers;
  };

  const pollVmList = async () => {
    while (!stop.signal.aborted) {
      const vms = await options.vmList.read().catch(() => []);
      for (const { name, kind, state } of vms) {
        if (kind === "upstream" && state === "leaving") mark(name);
      }
      await clock.sleep(VM_LIST_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  links.onMessage(DrainingMessage, addMark);
  links.onPeersChange(notifyNewPeers);
  book.onChange(prune);
  void pollVmList();

  return {
    isDraining: ({ name, address }) => marks.get(name)?.address === address,
    mark,
    close: () => stop.abort(new Error("closed")),
  };
}
