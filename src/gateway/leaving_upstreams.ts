import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Upstream } from "./upstream.ts";

/// Shares with all VMs that an upstream says in a response that it is draining.

const leavingMessage = defineMessage(
  "gateway.leaving",
  Type.Object({ upstream: Type.String(), startedAt: Type.Number() }),
  { replaceKey: ({ upstream }) => upstream },
);

/// Upstreams that say in responses that they leave.
export interface LeavingUpstreams {
  /// Records that an upstream says it is draining.
  record(upstream: Upstream): void;
}

/// Creates the records of one VM, which receives those of all others.
export function createLeavingUpstreams(
  { links, view }: { readonly links: Links; readonly view: FleetView },
): LeavingUpstreams {
  links.onMessage(
    leavingMessage,
    ({ upstream, startedAt }) => void view.setLeaving(upstream, startedAt),
  );
  return {
    record({ id, startedAt }) {
      if (!view.setLeaving(id, startedAt)) return;
      links.broadcast(leavingMessage, { upstream: id, startedAt });
    },
  };
}
