import type { Upstream } from "../../src/gateway/upstream.ts";

/// An engine as the gateway knows it.
export function sampleUpstream(
  id: string,
  more: Partial<Upstream> = {},
): Upstream {
  return {
    id,
    service: "engines",
    address: "10.0.0.1:80",
    dataCentre: "north",
    slots: 8,
    isLeaving: false,
    startedAt: 1,
    ...more,
  };
}
