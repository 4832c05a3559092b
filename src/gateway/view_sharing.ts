import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { Configuration } from "./configuration.ts";
import type { FleetView } from "./fleet_view.ts";
import { Upstream } from "./upstream.ts";

/// VMs tell each other how far their views are. One that the store turns away,
/// or whose watch is silent, asks another VM for what it lacks.

/// Time in which changes are gathered before others hear of them.
const GATHER_MILLISECONDS: Milliseconds = 20;
/// Time that the store's own news may take longer than a peer's word of it,
/// beside the pause that this VM makes between its calls.
const LAG_MILLISECONDS: Milliseconds = 250;
/// VMs whose word of a state is enough for the rest to keep silent.
const ENOUGH_ANNOUNCERS = 3;

const digestMessage = defineMessage(
  "gateway.view",
  Type.Object({ version: Type.Number(), revision: Type.Number() }),
  { replaceKey: () => "view" },
);

const readCall = defineCall("gateway.view.read", {
  request: Type.Object({ version: Type.Number(), revision: Type.Number() }),
  reply: Type.Object({
    revision: Type.Number(),
    configuration: Type.Optional(Configuration),
    upstreams: Type.Optional(Type.Array(Upstream)),
  }),
});

export interface ViewSharingOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly links: Links;
  readonly view: FleetView;
  /// Pause that this VM makes between its calls to the store.
  readonly callPause: () => Milliseconds;
  /// Called when a peer has been ahead for a while.
  readonly onBehind: () => void;
}

export function startViewSharing(options: ViewSharingOptions): void {
  const { clock, log, links, view } = options;
  let announcing: Timer | undefined;
  let checking: Timer | undefined;
  let known = new Set<string>();
  /// The most advanced state that a peer has told of, and who has it.
  let ahead = { vm: "", version: -1, revision: -1 };
  /// VMs that have told of the state in force here.
  let announcers = new Set<string>();

  const digest = () => ({
    version: view.table()?.configuration.version ?? -1,
    revision: view.revision(),
  });

  const isBehind = (other: { version: number; revision: number }) => {
    const own = digest();
    return other.version > own.version || other.revision > own.revision;
  };

  const catchUp = async (vm: string) => {
    const reply = await links.call(vm, readCall, digest());
    const source = { kind: "peer" as const, revision: reply.revision };
    if (reply.configuration) view.setConfiguration(reply.configuration, source);
    if (reply.upstreams && reply.revision > view.revision()) {
      view.setUpstreams(reply.upstreams, source);
      view.advance(reply.revision);
    }
    log.info("view taken from a peer", { peer: vm, ...digest() });
  };

  const check = () => {
    checking = undefined;
    if (!isBehind(ahead)) return;
    const { vm } = ahead;
    // Another VM may be asked at its next word.
    ahead = { vm: "", version: -1, revision: -1 };
    options.onBehind();
    catchUp(vm).catch((error: Error) =>
      log.warn("view not taken from a peer", {
        peer: vm,
        reason: error.message,
      })
    );
  };

  links.onMessage(digestMessage, (other, { vm }) => {
    const own = digest();
    if (other.version === own.version && other.revision === own.revision) {
      announcers.add(vm);
    }
    if (!isBehind(other)) return;
    if (other.version >= ahead.version && other.revision >= ahead.revision) {
      ahead = { vm, ...other };
    }
    const wait = view.table() ? LAG_MILLISECONDS + options.callPause() : 0;
    checking ??= clock.schedule(wait, check);
  });

  links.onCall(readCall, (other) => {
    const table = view.table();
    const own = digest();
    return Promise.resolve({
      revision: own.revision,
      configuration: own.version > other.version
        ? table?.configuration
        : undefined,
      upstreams: own.revision > other.revision
        ? [...view.upstreams()]
        : undefined,
    });
  });

  const announce = () => {
    announcing = undefined;
    if (announcers.size >= ENOUGH_ANNOUNCERS) return;
    links.broadcast(digestMessage, digest());
  };

  view.onChange(() => {
    announcers = new Set();
    announcing ??= clock.schedule(GATHER_MILLISECONDS, announce);
  });

  links.onPeersChange(() => {
    const runs = links.peers().map(({ vm, incarnation }) => ({
      vm,
      run: `${vm} ${incarnation}`,
    }));
    for (const { vm, run } of runs) {
      if (!known.has(run)) links.send(vm, digestMessage, digest());
    }
    known = new Set(runs.map(({ run }) => run));
  });
}
