import type {
  EngineProfile,
  Route,
  Service,
} from "../../src/gateway/configuration.ts";
import { createFleetView } from "../../src/gateway/fleet_view.ts";
import type { GatewayRequest } from "../../src/gateway/request_context.ts";
import { createRequestPlacer } from "../../src/gateway/request_placer.ts";
import { createUpstreamHealth } from "../../src/gateway/upstream_health.ts";
import { createUpstreamHolds } from "../../src/gateway/upstream_holds.ts";
import { createUpstreamLimits } from "../../src/upstreams/upstream_limits.ts";
import { createPlacementParts } from "../../src/gateway/placement_parts.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import {
  createSeededRandom,
  randomInteger,
  type RandomSource,
} from "../../src/support/random.ts";
import { createFakeClock } from "../fake_clock.ts";
import { createLocalNetwork } from "../local_links.ts";
import { createPassEngine } from "./pass_engine.ts";
import { sampleUpstream } from "./sample_upstream.ts";

/// Simulates a load of prompts on engines under the fake clock. Several VMs
/// place the requests and share their in-flight work; the results are counted
/// per class of requests.

export interface LoadClass {
  readonly name: string;
  readonly requestsPerSecond: number;
  /// Mean prompt size. Sizes are uniformly distributed between half of it and
  /// one and a half times it.
  readonly promptTokens: number;
  readonly events: number;
  /// Maximum time to the first event, in milliseconds.
  readonly objective: number;
  readonly eventGapMilliseconds: number;
}

export interface SimulatedLoad {
  readonly seed: number;
  readonly vms: number;
  readonly engines: number;
  readonly seconds: number;
  readonly profile: EngineProfile;
  readonly classes: readonly LoadClass[];
  /// Sends each request immediately to a random engine that prefills the whole
  /// prompt, as a baseline.
  readonly isBaseline?: boolean;
  /// Number of hubs, the first of which places the requests of all VMs; by
  /// default each VM places its own.
  readonly hubs?: number;
  /// Engines, the first by name, that state a limit on requests per second.
  readonly limited?: { readonly engines: number; readonly limit: number };
}

export interface ClassResult {
  readonly sent: number;
  /// Requests whose first event and event gaps were within their bounds.
  readonly inTime: number;
  readonly refused: number;
}

/// The results by class.
export interface LoadResults extends ReadonlyMap<string, ClassResult> {
  /// Median number of messages that a VM received.
  readonly messagesPerVm: number;
  /// Largest number of requests that a limited engine got in four seconds.
  readonly mostAtLimited: number;
}

const LIMIT_WINDOW_MILLISECONDS = 4_000;
/// Time in which all VMs learn of a limit.
const LIMIT_LEARNING_MILLISECONDS = 10;

function exponential(random: RandomSource, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}

export async function simulateLoad(
  load: SimulatedLoad,
): Promise<LoadResults> {
  const clock = createFakeClock();
  const random = createSeededRandom(load.seed);
  const network = createLocalNetwork(clock, { hubsPerDataCentre: load.hubs });
  const view = createFleetView(clock);
  const { profile } = load;
  const service: Service = {
    name: "engines",
    maxConnections: 1_000,
    engine: profile,
  };
  const engines = new Map(
    Array.from({ length: load.engines }, (_, index) => {
      const id = `e${String(index).padStart(3, "0")}`;
      const upstream = sampleUpstream(id, {
        service: service.name,
        address: `10.0.0.${index}:80`,
        slots: profile.slots,
      });
      view.setUpstream(upstream, { kind: "store", revision: 1 });
      return [id, createPassEngine(clock, profile)];
    }),
  );
  view.setConfiguration({
    version: 1,
    routes: load.classes.map((loadClass) => routeOf(loadClass, service.name)),
    services: [service],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
  }, { kind: "store", revision: 1 });

  const vms = Array.from({ length: load.vms }, (_, index) => {
    const links = network.join({
      vm: `vm-${index}`,
      incarnation: "1",
      dataCentre: "north",
    });
    const log = createSilentLogger();
    const health = createUpstreamHealth({ clock, random, log, links });
    const vmCount = () => load.vms;
    const upstreamLimits = createUpstreamLimits({ clock, log, links, vmCount });
    const parts = createPlacementParts({
      clock,
      random,
      log,
      links,
      view,
      health,
      upstreamLimits,
      vmCount,
    });
    const upstreamHolds = createUpstreamHolds({ clock, links });
    return { clock, view, upstreamLimits, upstreamHolds, ...parts };
  });
  const limitedIds = [...engines.keys()].slice(0, load.limited?.engines ?? 0);
  for (const id of limitedIds) {
    const { limit } = load.limited!;
    vms[0]!.upstreamLimits.record(id, { limit, sentAt: clock.now() });
  }
  await clock.advance(LIMIT_LEARNING_MILLISECONDS);
  const startedAt = clock.now();
  /// When each limited engine got requests.
  const arrivals = new Map<string, number[]>(limitedIds.map((id) => [id, []]));

  const results = new Map(
    load.classes.map(({ name }) => [
      name,
      { sent: 0, inTime: 0, refused: 0 },
    ]),
  );

  const send = async (loadClass: LoadClass, vm: typeof vms[number]) => {
    const result = results.get(loadClass.name)!;
    result.sent += 1;
    const arrivedAt = clock.now();
    const promptTokens = Math.round(
      loadClass.promptTokens * (0.5 + random.next()),
    );
    const outputTokens = loadClass.events * profile.stepsPerPass;
    const request = {
      route: routeOf(loadClass, service.name),
      service,
      metadata: { promptTokens, outputTokens, sharedParts: [] },
      arrivedAt,
    } as unknown as GatewayRequest;
    const placer = createRequestPlacer(vm, request);
    const decide = () =>
      placer.decide({
        avoided: new Set(),
        remaining: request.route.timeoutMilliseconds,
        isResumed: load.isBaseline === true,
        signal: new AbortController().signal,
      });
    let decision = await decide();
    while (
      decision.kind === "placed" &&
      !await vm.upstreamLimits.take(decision.upstream)
    ) {
      vm.placements.abandon(decision);
      decision = await decide();
    }
    if (decision.kind === "refused") {
      result.refused += 1;
      return;
    }
    arrivals.get(decision.upstream)?.push(clock.now());
    const all = view.available(service.name);
    const primary = load.isBaseline
      ? all[randomInteger(random, all.length)]!.id
      : decision.upstream;
    const helpers = load.isBaseline ? [] : decision.helpers;
    const prefillEngines = [primary, ...helpers];
    const work = placer.startWork(decision);
    await Promise.all(
      prefillEngines.map((id) =>
        new Promise<void>((resolve) =>
          engines.get(id)!.prefill(
            { promptTokens, share: 1 / prefillEngines.length },
            resolve,
          )
        )
      ),
    );
    let lastEventAt = arrivedAt;
    let isInTime = true;
    let isFirst = true;
    await new Promise<void>((resolve) =>
      engines.get(primary)!.decode(
        { contextTokens: promptTokens, events: loadClass.events },
        (isLast) => {
          if (isFirst) work.prefillDone();
          const bound = isFirst
            ? loadClass.objective
            : loadClass.eventGapMilliseconds;
          if (clock.now() - lastEventAt > bound) isInTime = false;
          lastEventAt = clock.now();
          isFirst = false;
          if (isLast) resolve();
        },
      )
    );
    work.end();
    if (isInTime) result.inTime += 1;
  };

  const running: Promise<void>[] = [];
  for (const loadClass of load.classes) {
    const arrive = () => {
      if (clock.now() >= startedAt + load.seconds * 1_000) return;
      running.push(send(loadClass, vms[randomInteger(random, vms.length)]!));
      clock.schedule(
        exponential(random, 1_000 / loadClass.requestsPerSecond),
        arrive,
      );
    };
    clock.schedule(
      exponential(random, 1_000 / loadClass.requestsPerSecond),
      arrive,
    );
  }
  await clock.advance(load.seconds * 1_000);
  await clock.advanceUntil(Promise.all(running), 120_000);
  for (const vm of vms) vm.close();
  const received = vms.map((_, index) => network.received(`vm-${index}`))
    .sort((left, right) => left - right);
  const messagesPerVm = received[Math.floor(received.length / 2)]!;
  const mostAtLimited = Math.max(
    0,
    ...[...arrivals.values()].flatMap((times) =>
      times.map((start) =>
        times.filter((at) =>
          at >= start && at < start + LIMIT_WINDOW_MILLISECONDS
        ).length
      )
    ),
  );
  return Object.assign(results, { messagesPerVm, mostAtLimited });
}

function routeOf(loadClass: LoadClass, service: string): Route {
  return {
    name: loadClass.name,
    host: "callers.example",
    prefix: `/${loadClass.name}/`,
    kind: "stream",
    isResumable: true,
    isPublic: true,
    timeoutMilliseconds: 15_000,
    objectiveMilliseconds: loadClass.objective,
    pauseMilliseconds: loadClass.eventGapMilliseconds,
    silenceMilliseconds: 8 * loadClass.eventGapMilliseconds,
    priority: 1,
    maxUpstreams: 2,
    targets: [{ service, weight: 1 }],
  };
}
