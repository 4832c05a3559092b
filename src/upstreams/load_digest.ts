import { type Static, Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Timer } from "../support/clock.ts";
import type { PrefillTracker } from "./prefill_tracker.ts";

/// Announces this VM's running prefills to the others in batches, and takes
/// in theirs, so that choices don't wait for the engines' late reports.

/// Changes within this time are announced together.
const BATCH_MILLISECONDS = 20;

const PrefillGroups = Type.Array(Type.Object({
  priority: Type.Number(),
  tokens: Type.Number(),
  requests: Type.Integer(),
  long: Type.Integer(),
}));

const LoadDigest = Type.Object({
  /// The whole state of each engine that changed.
  engines: Type.Array(
    Type.Object({ name: Type.String(), prefills: PrefillGroups }),
  ),
});
type LoadDigest = Static<typeof LoadDigest>;

const LOAD_DIGEST = defineMessage("upstreams.loadDigest", LoadDigest);

export interface LoadDigestOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly prefills: PrefillTracker;
}

/// Starts announcing. The result stops it.
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
    links.broadcast(LOAD_DIGEST, digestOf([...changed]));
    changed.clear();
  };

  const followPeers = () => {
    prefills.retainVms(
      links.peers().map(({ vm, incarnation }) => `${vm} ${incarnation}`),
    );
    const whole = digestOf(prefills.ownEngines());
    for (const { vm } of newPeers()) {
      if (!closed) links.send(vm, LOAD_DIGEST, whole);
    }
  };

  prefills.onOwnChange((engine) => {
    changed.add(engine);
    timer ??= clock.schedule(BATCH_MILLISECONDS, flush);
  });
  links.onMessage(LOAD_DIGEST, ({ engines }, from) => {
    const key = `${from.vm} ${from.incarnation}`;
    for (const engine of engines) {
      prefills.setAnnounced(key, engine.name, engine.prefills);
    }
  });
  links.onPeersChange(followPeers);
  followPeers();

  return () => {
    closed = true;
    timer?.cancel();
  };
}
