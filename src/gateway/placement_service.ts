import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineCall, defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { createAwaitedDecisions } from "./awaited_decisions.ts";
import type { CellSummaries } from "./cell_summaries.ts";
import { workOfDecision } from "./decided_work.ts";
import type { FleetView } from "./fleet_view.ts";
import type { InFlightWork } from "./in_flight_work.ts";
import type { DecisionScope } from "./placement_candidates.ts";
import type { PlacementDecider } from "./placement_decider.ts";
import {
  type PlacedDecision,
  PlacementDecision,
  PlacementQuery,
} from "./placement_decision.ts";
import type { PlacementOwners } from "./placement_owners.ts";
import type { UpstreamHealth } from "./upstream_health.ts";

/// Places requests: by this VM's own decision, or by asking the owner of its
/// data centre. An owner asks the owner of another data centre when its own
/// engines are full.

/// Time in which an owner replies. A request that gets no reply is placed
/// without the knowledge of the others' work.
const REPLY_TIMEOUT_MILLISECONDS: Milliseconds = 200;
/// Difference in the share of free slots from which a request is placed in
/// another data centre. Its bytes then go between data centres, so small
/// differences aren't worth it.
const MINIMUM_SHARE_GAIN = 0.2;

/// The decision follows in a message.
const WaitingDecision = Type.Object({ kind: Type.Literal("waiting") });

const placeCall = defineCall("gateway.place", {
  request: Type.Object({
    query: PlacementQuery,
    /// Whether an owner asks for another data centre, so that the request is
    /// neither queued nor passed on.
    isForwarded: Type.Boolean(),
    /// Chosen by the asking VM; a decision that follows later carries it.
    ticket: Type.Number(),
  }),
  reply: Type.Union([PlacementDecision, WaitingDecision]),
});

/// The decision on a request that waited for a slot.
const placedMessage = defineMessage(
  "gateway.placed",
  Type.Object({ ticket: Type.Number(), decision: PlacementDecision }),
);

const remainingCall = defineCall("gateway.prefill.remaining", {
  request: Type.Object({ upstream: Type.String() }),
  reply: Type.Object({ milliseconds: Type.Number() }),
});

export interface PlacementService {
  /// Decides where a request is sent. `signal` ends the wait for a slot; the
  /// decision is then a refusal or of no use.
  decide(
    query: PlacementQuery,
    signal?: AbortSignal,
  ): Promise<PlacementDecision>;
  /// Gives up a decision: its work is not started.
  abandon(decision: PlacementDecision): void;
  /// Remaining prefill at an upstream, as far as it is known.
  remainingPrefill(upstream: string): Promise<Milliseconds>;
}

export interface PlacementServiceOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly view: FleetView;
  readonly health: UpstreamHealth;
  readonly inFlightWork: InFlightWork;
  readonly owners: PlacementOwners;
  readonly decider: PlacementDecider;
  readonly summaries: CellSummaries;
}

export function createPlacementService(
  options: PlacementServiceOptions,
): PlacementService {
  const { clock, links, view, health, inFlightWork, owners } = options;
  const { decider, summaries } = options;
  const ownDataCentre = links.self.dataCentre;
  const awaited = createAwaitedDecisions(clock);
  let nextTicket = 0;

  const claim = (vm: string, query: PlacementQuery, placed: PlacedDecision) => {
    const engine = view.service(query.service)?.engine;
    const eventGap = view.routeTable()?.shortestEventGap(query.service);
    const items = workOfDecision(placed, query, { engine, eventGap });
    for (const { upstream, work } of items) {
      inFlightWork.claim(vm, upstream, work);
    }
    health.recordSent(placed.upstream);
  };

  const claimed = (
    vm: string,
    query: PlacementQuery,
    decision: PlacementDecision,
  ) => {
    if (decision.kind === "placed") claim(vm, query, decision);
    return decision;
  };

  /// Whether the engines of this data centre are too busy to meet the request's
  /// objective.
  const isUnsatisfactory = (
    decision: PlacementDecision | undefined,
    { objective, age }: PlacementQuery,
  ) =>
    decision?.kind !== "placed" ||
    age + decision.firstEventTime > objective;

  const askOther = async (
    query: PlacementQuery,
  ): Promise<PlacementDecision | undefined> => {
    const [best] = summaries.others(query.service);
    const local = summaries.localFreeShare(query.service);
    if (!best || best.freeShare < local + MINIMUM_SHARE_GAIN) return undefined;
    try {
      const decision = await links.call(best.vm, placeCall, {
        query,
        isForwarded: true,
        ticket: nextTicket++,
      }, { timeoutMilliseconds: REPLY_TIMEOUT_MILLISECONDS });
      return decision.kind === "placed" ? decision : undefined;
    } catch {
      owners.passOver(best.vm);
      return undefined;
    }
  };

  /// Decides as the owner of this data centre.
  const decideAsOwner = async (
    query: PlacementQuery,
    scope: DecisionScope,
    signal?: AbortSignal,
  ): Promise<PlacementDecision> => {
    const decision = decider.decideNow(query, scope);
    if (isUnsatisfactory(decision, query)) {
      const other = await askOther(query);
      if (other) return other;
    }
    return await decider.decide(query, scope, signal);
  };

  /// The scope of the decisions of an owner.
  const ownScope = (mayWait: boolean): DecisionScope => ({
    dataCentre: ownDataCentre,
    mayWait,
  });

  links.onCall(placeCall, async ({ query, isForwarded, ticket }, { vm }) => {
    if (isForwarded) {
      const decision = await decider.decide(query, ownScope(false));
      return claimed(vm, query, decision);
    }
    const now = decider.decideNow(query, ownScope(true));
    if (now && !isUnsatisfactory(now, query)) return claimed(vm, query, now);
    void decideAsOwner(query, ownScope(true)).then((decision) => {
      claimed(vm, query, decision);
      links.send(vm, placedMessage, { ticket, decision });
    });
    return { kind: "waiting" as const };
  });

  links.onCall(remainingCall, ({ upstream }) =>
    Promise.resolve({
      milliseconds: inFlightWork.workAt(upstream).prefillMilliseconds,
    }));

  const abandon = (decision: PlacementDecision) => {
    if (decision.kind !== "placed") return;
    for (const id of [decision.upstream, ...decision.helpers]) {
      inFlightWork.report(id);
    }
  };

  links.onMessage(placedMessage, ({ ticket, decision }, { vm }) => {
    if (!awaited.settle(vm, ticket, decision)) abandon(decision);
  });

  links.onPeersChange(() =>
    awaited.retain(new Set(links.neighbours().map((peer) => peer.vm)))
  );

  const askOwner = async (
    vm: string,
    query: PlacementQuery,
    signal: AbortSignal | undefined,
  ): Promise<PlacementDecision | undefined> => {
    const ticket = nextTicket++;
    // The decision may arrive before the reply that announces it.
    const announced = awaited.wait(vm, ticket, signal);
    // Owners of earlier builds don't read `held`.
    const held = query.held?.map(({ upstream }) => upstream) ?? [];
    const avoided = [...query.avoided, ...health.suspended(), ...held];
    try {
      const reply = await links.call(vm, placeCall, {
        query: { ...query, avoided },
        isForwarded: false,
        ticket,
      }, { timeoutMilliseconds: REPLY_TIMEOUT_MILLISECONDS });
      if (reply.kind === "waiting") return await announced;
      awaited.settle(vm, ticket, undefined);
      return reply;
    } catch {
      awaited.settle(vm, ticket, undefined);
      owners.passOver(vm);
      return undefined;
    }
  };

  /// Decides without the knowledge of the others' work.
  const decideAlone = (query: PlacementQuery, signal?: AbortSignal) => {
    const hasLocal = view.available(query.service)
      .some(({ dataCentre }) => dataCentre === ownDataCentre);
    const dataCentre = hasLocal && !owners.isBroadcast()
      ? ownDataCentre
      : undefined;
    return decider.decide(query, { dataCentre, mayWait: true }, signal);
  };

  /// Whether another VM's decision is followed. This VM's own view may be newer,
  /// and an owner of an earlier build doesn't know which upstreams want no
  /// requests of this VM.
  const isUsable = (
    decision: PlacementDecision,
    { held = [] }: PlacementQuery,
  ) =>
    decision.kind === "refused"
      ? !decision.isUnknown
      : [decision.upstream, ...decision.helpers].every((id) => {
        const upstream = view.upstream(id);
        return upstream !== undefined && !upstream.isLeaving &&
          !held.some((each) => each.upstream === id);
      });

  const decide: PlacementService["decide"] = async (query, signal) => {
    const hasEngines = view.service(query.service)?.engine;
    if (owners.isBroadcast() || !hasEngines) return decideAlone(query, signal);
    if (owners.isOwner()) return decideAsOwner(query, ownScope(true), signal);
    const askedAt = clock.now();
    const owner = owners.ownerOf();
    const decision = owner && await askOwner(owner, query, signal);
    if (decision && isUsable(decision, query)) return decision;
    if (decision) abandon(decision);
    const waited = clock.now() - askedAt;
    const aged = {
      ...query,
      age: query.age + waited,
      remaining: query.remaining - waited,
    };
    return decideAlone(aged, signal);
  };

  return {
    decide,
    abandon,
    async remainingPrefill(upstream) {
      const known = inFlightWork.workAt(upstream).prefillMilliseconds;
      const owner = owners.ownerOf();
      if (owners.isBroadcast() || owners.isOwner() || !owner) return known;
      try {
        const reply = await links.call(owner, remainingCall, { upstream }, {
          timeoutMilliseconds: REPLY_TIMEOUT_MILLISECONDS,
        });
        return Math.max(known, reply.milliseconds);
      } catch {
        return known;
      }
    },
  };
}
