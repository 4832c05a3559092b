import { type Static, Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Timer } from "../support/clock.ts";
import type { PrefillTracker } from "./prefill_tracker.ts";

/// Broadcasts this VM's running prefills to the other VMs in batches and
/// receives theirs, so that placement doesn't depend on the engines' delayed
/// load reports alone.

/// Changes within this time are sent in one message.
const BATCH_MILLISECONDS = 20;

const PrefillGroups = Type.Array(Type.Object({
  priority: Type.Number(),
  tokens: Type.Number(),
  requests: Type.Integer(),
  long: Type.Integer(),
}));

const LoadDigest = Type.Object({
  /// The complete state of each engine that has changed.
  engines: Type.Array(
    Type.Object({ name: Type.String(), prefills: PrefillGroups }),
  ),
});
type LoadDigest = Static<typeof LoadDigest>;

const LoadDigestMessage = defineMessage("upstreams.loadDigest", LoadDigest);

export interface LoadDigestOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly prefills: PrefillTracker;
}

/// Starts the broadcasts. The returned function stops them.
export function startLoadDigests(options: LoadDigestOptions): () => void {
  const { clock, links, prefills } = options;
  const changed = new Set<string>();
  const newPeers = createNewPeers(links);
  let timer: Timer | undefined;
  let closed = false;

  const digestOf = (names: readonly string[]): LoadDigest => ({
    engines: names.map((name) => ({
      name,
      prefills: [...prefills.ownGroupsAt(name)],
    })),
  });

  const flush = () => {
    timer = undefined;
    if (closed) return;
    links.broadcast(LoadDigestMessage, digestOf([...changed]));
    changed.clear();
  };

  const updatePeers = () => {
    prefills.retainVms(
      links.peers().map(({ vm, incarnation }) => `${vm} ${incarnation}`),
    );
    const allPrefills = digestOf(prefills.ownEngines());
    for (const { vm } of newPeers()) {
      if (!closed) links.send(vm, LoadDigestMessage, allPrefills);
    }
  };

  prefills.onOwnChange((engine) => {
    changed.add(engine);
    timer ??= clock.schedule(BATCH_MILLISECONDS, flush);
  });
  links.onMessage(LoadDigestMessage, ({ engines }, from) => {
    const key = `${from.vm} ${from.incarnation}`;
    for (const engine of engines) {
      prefills.setAnnounced(key, engine.name, engine.prefills);
    }
  });
  links.onPeersChange(updatePeers);
  updatePeers();

  return () => {
    closed = true;
    timer?.cancel();
  };
}
