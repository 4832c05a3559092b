import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Finds out which VMs have lost their links for good. Links also break for a
/// moment, for example while a VM is paused.

/// Time without a link after which a VM counts as lost.
const LOST_AFTER_MILLISECONDS: Milliseconds = 5_000;

export interface LostVmsOptions {
  readonly clock: Clock;
  readonly links: Pick<Links, "peers" | "onPeersChange">;
  readonly onLost: (vm: string) => void;
}

/// Calls `onLost` once for each VM that loses its links for good.
export function watchLostVms({ clock, links, onLost }: LostVmsOptions): void {
  let linked: ReadonlySet<string> = new Set();
  /// When each VM lost its link.
  const lostAt = new Map<string, Milliseconds>();

  const loseLink = (vm: string) => {
    const since = clock.now();
    lostAt.set(vm, since);
    clock.schedule(LOST_AFTER_MILLISECONDS, () => {
      if (lostAt.get(vm) !== since) return;
      lostAt.delete(vm);
      onLost(vm);
    });
  };

  links.onPeersChange(() => {
    const now = new Set(links.peers().map(({ vm }) => vm));
    for (const vm of linked) if (!now.has(vm)) loseLink(vm);
    for (const vm of now) lostAt.delete(vm);
    linked = now;
  });
}
