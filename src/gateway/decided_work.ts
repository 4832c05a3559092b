import type { Milliseconds } from "../support/clock.ts";
import type { EngineProfile } from "./configuration.ts";
import { isLongPrompt, requiredMemory } from "./placement.ts";
import type { PlacedDecision, PlacementQuery } from "./placement_decision.ts";
import type { UpstreamWork } from "./work_table.ts";

/// The work that a decision puts on each of its upstreams.
export function workOfDecision(
  decision: PlacedDecision,
  query: Pick<PlacementQuery, "promptTokens" | "outputTokens">,
  { engine, eventGap = Infinity }: {
    readonly engine: EngineProfile | undefined;
    /// Smallest of the maximum event gaps that streams on these engines allow.
    readonly eventGap: Milliseconds | undefined;
  },
): readonly { readonly upstream: string; readonly work: UpstreamWork }[] {
  const { spanTime } = decision;
  const isShort = engine !== undefined &&
    !isLongPrompt(engine, query.promptTokens, eventGap);
  const primary = {
    requests: 1,
    shortRequests: isShort ? 1 : 0,
    memoryTokens: engine ? requiredMemory(query) : 0,
    spans: 0,
    prefillMilliseconds: spanTime,
  };
  const span = {
    requests: 0,
    shortRequests: 0,
    memoryTokens: 0,
    spans: 1,
    prefillMilliseconds: spanTime,
  };
  return [
    { upstream: decision.upstream, work: primary },
    ...decision.helpers.map((upstream) => ({ upstream, work: span })),
  ];
}
