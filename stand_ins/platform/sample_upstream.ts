import type { Upstream } from "../../src/gateway/upstream.ts";

/// An upstream of the service `engines`, as the gateway represents it.
export function sampleUpstream(
  id: string,
  overrides: Partial<Upstream> = {},
): Upstream {
  return {
    id,
    service: "engines",
    address: "10.0.0.1:80",
    dataCentre: "north",
    slots: 8,
    isLeaving: false,
    startedAt: 1,
    ...overrides,
  };
}
