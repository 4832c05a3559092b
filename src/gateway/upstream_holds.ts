import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Upstreams that want no requests of this VM for a time, as they state when they
/// refuse one. Other VMs may go on sending to them.

const holdMessage = defineMessage(
  "gateway.hold",
  Type.Object({ upstream: Type.String(), duration: Type.Number() }),
  { replaceKey: ({ upstream }) => upstream },
);

/// The upstreams that want no requests for a time, as this VM knows them.
export interface UpstreamHolds {
  /// Records that an upstream wants no requests for `duration` from now on. The
  /// VM through which the refused request was sent is told, since the upstream
  /// took it for that VM's.
  record(
    id: string,
    hold: { duration: Milliseconds; tunnelVm: string | undefined },
  ): void;
  /// Remaining time; 0 if the upstream may get requests.
  delayOf(id: string): Milliseconds;
  /// The upstreams that may get none now, with the remaining time.
  list(): { upstream: string; delay: Milliseconds }[];
  remove(id: string): void;
}

/// Creates the holds of one VM.
export function createUpstreamHolds(
  { clock, links }: { readonly clock: Clock; readonly links: Links },
): UpstreamHolds {
  const heldUntil = new Map<string, Milliseconds>();
  const delayOf = (id: string) =>
    Math.max(0, (heldUntil.get(id) ?? -Infinity) - clock.now());
  const hold = (id: string, duration: Milliseconds) => {
    const until = clock.now() + duration;
    heldUntil.set(id, Math.max(heldUntil.get(id) ?? -Infinity, until));
  };
  links.onMessage(
    holdMessage,
    ({ upstream, duration }) => hold(upstream, duration),
  );
  return {
    record(id, { duration, tunnelVm }) {
      hold(id, duration);
      if (tunnelVm === undefined) return;
      links.send(tunnelVm, holdMessage, { upstream: id, duration });
    },
    delayOf,
    list: () =>
      [...heldUntil.keys()].flatMap((upstream) => {
        const delay = delayOf(upstream);
        if (delay === 0) heldUntil.delete(upstream);
        return delay > 0 ? [{ upstream, delay }] : [];
      }),
    remove: (id) => void heldUntil.delete(id),
  };
}
