import type { Entry } from "../entry.ts";
import type { Links } from "../links/links.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { EngineView } from "../upstreams/engine_directory.ts";
import type { Coordinator } from "../upstreams/coordinator.ts";
import {
  DrainReply,
  RequestsReply,
  StatusReply,
  UpstreamDrainRequest,
  UpstreamsReply,
} from "./administration_schemas.ts";
import { BurnReport } from "./burn_schemas.ts";
import { defineRoute, type Route } from "./route.ts";

/// The administration API's operations that show this VM's state and that drain
/// an upstream or this VM.

/// The sheet has no upstream of this name.
export class UpstreamUnknownError extends Error {
  override readonly name = "UpstreamUnknownError";
  constructor(upstream: string) {
    super(`no upstream is called ${upstream}`);
  }
}

export interface StateRoutesOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly entry: Entry;
  readonly audit: Logger;
  /// Starts a graceful shutdown.
  readonly drain: () => void;
}

function describeEngine(engine: EngineView) {
  const { name, kind, serves, dataCentre, address } = engine.upstream;
  return {
    name,
    kind,
    serves,
    dataCentre,
    address,
    usable: engine.usable,
    outstandingRequests: engine.outstandingRequests,
    outstandingTokens: engine.outstandingTokens,
    report: engine.report,
  };
}

function describeCoordinator(coordinator: Coordinator | undefined) {
  if (!coordinator) return undefined;
  const { region, fencing, underWay, blocked } = coordinator.status();
  return { region, fencing, underWay: [...underWay], blocked: [...blocked] };
}

export function createStateRoutes(
  options: StateRoutesOptions,
): readonly Route[] {
  const { clock, links, entry, audit } = options;
  const { book, registry, engines, follower, membership } = entry;

  return [
    defineRoute("GET /v1/status", {
      summary: "This VM, its peers and the engines as it sees them",
      role: "view",
      reply: StatusReply,
      async handle() {
        const revisions = await follower.fetchRevisions();
        return {
          vm: links.self,
          ready: entry.isReady(),
          sheetRevision: book.current().revision,
          runningRequests: registry.running().length,
          peers: membership.members()
            .filter(({ vm }) => vm !== links.self.vm)
            .map((peer) => ({
              ...peer,
              sheetRevision: revisions.get(peer.vm),
            })),
          engines: engines.all().map(describeEngine),
          steward: describeCoordinator(entry.coordinator),
        };
      },
    }),
    defineRoute("GET /v1/upstreams", {
      summary: "Engines and services of the sheet",
      role: "view",
      reply: UpstreamsReply,
      handle() {
        const services = book.current().sheet.upstreams
          .filter(({ kind }) => kind === "service")
          .map(({ checksFencing: _, ...service }) => service);
        return {
          upstreams: [...engines.all().map(describeEngine), ...services],
        };
      },
    }),
    defineRoute("GET /v1/requests", {
      summary: "Running requests of this VM, and ended ones by reason",
      role: "view",
      reply: RequestsReply,
      handle() {
        const now = clock.now();
        return {
          running: registry.running().map((
            { receivedAt, firstTokenAt: _, ...record },
          ) => ({ ...record, ageMilliseconds: now - receivedAt })),
          ended: { ...registry.endedByReason() },
        };
      },
    }),
    defineRoute("GET /v1/burn", {
      summary: "How fast the error budgets are spent, over all VMs",
      role: "view",
      reply: BurnReport,
      handle: () => entry.burn.report(),
    }),
    defineRoute("POST /v1/upstreams/drain", {
      summary: "Gives an upstream no new work, on every VM",
      role: "operate",
      body: UpstreamDrainRequest,
      reply: DrainReply,
      errors: ["not_found"],
      handle({ body: { name }, operator }) {
        const draining = entry.upstreamDrains.mark(name);
        audit.info("upstream drain", { ...operator, upstream: name, draining });
        if (!draining) throw new UpstreamUnknownError(name);
        return { draining };
      },
    }),
    defineRoute("POST /v1/drain", {
      summary: "Shuts this VM down gracefully",
      role: "operate",
      reply: DrainReply,
      handle({ operator }) {
        audit.info("drain", { ...operator });
        options.drain();
        return { draining: true };
      },
    }),
  ];
}
