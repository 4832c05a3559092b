import { randomInteger, type RandomSource } from "../../src/support/random.ts";
import type { FaultProxy, ProxyMode } from "../soak/fault_proxy.ts";
import type {
  FleetCaller,
  FleetGateway,
  FleetUpstream,
  OrderFleet,
} from "./order_fleet.ts";

/// Faults of the processes and links of a fleet.

/// Starts a fault and resolves when it is over.
type Fault = (durationMilliseconds: number) => Promise<void> | void;

/// Kinds of plays, by which parts their faults affect.
export const ORDER_PLAYS = ["gateways", "upstreams", "links", "all"] as const;
export type OrderPlay = typeof ORDER_PLAYS[number];

export interface OrderFaults {
  /// Starts a random fault. Returns its name and a promise of its end.
  start(): { readonly name: string; readonly ended: Promise<void> };
}

const SHORTEST_MILLISECONDS = 200;
const LONGEST_MILLISECONDS = 6_000;
/// Most faults are short, so that many follow each other.
const SHORT_MILLISECONDS = 1_500;
const LONG_RATIO = 0.25;
/// Time for which an upstream that leaves is listed as draining.
const DRAIN_MILLISECONDS = 1_000;

const MODES: readonly ProxyMode[] = [
  "slow",
  "reset",
  "silent",
  "deaf",
  "mute",
  "held",
  "held",
];

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

export function createOrderFaults(
  fleet: OrderFleet,
  random: RandomSource,
  play: OrderPlay,
): OrderFaults {
  const { store, gateways, upstreams, callers } = fleet;
  /// Processes that a fault ends or starts.
  const busy = new Set<FleetGateway | FleetUpstream | FleetCaller>();
  const pick = <Item>(items: readonly Item[]) =>
    items[randomInteger(random, items.length)]!;

  /// Runs `action` for a part that no other fault ends or starts.
  const alone = async <Part extends FleetGateway | FleetUpstream | FleetCaller>(
    parts: readonly Part[],
    action: (part: Part) => Promise<void>,
  ) => {
    const free = parts.filter((each) => !busy.has(each));
    if (free.length === 0) return;
    const part = pick(free);
    busy.add(part);
    await action(part).finally(() => busy.delete(part));
  };

  const degrade = async (
    proxies: readonly FaultProxy[],
    duration: number,
    source?: string,
  ) => {
    const mode = pick(MODES);
    for (const proxy of proxies) proxy.setMode(mode, source);
    await sleep(duration);
    for (const proxy of proxies) {
      // What a lost connection has swallowed must not be followed by more.
      if (mode !== "slow" && mode !== "held") proxy.resetAll(source);
      proxy.setMode("pass", source);
    }
  };

  const restartUpstream = async (
    upstream: FleetUpstream,
    keepsListed: boolean,
  ) => {
    const { id, service } = upstream.settings;
    const draw = random.next();
    if (!keepsListed && draw >= 0.4) store.remove(`servers/${id}`);
    if (draw < 0.4) return await fleet.startUpstream(upstream, {});
    // The address may go to another service.
    const isSame = draw < 0.8 ||
      upstreams.filter((each) => each.settings.service === service).length < 2;
    const next = isSame ? service : service === "desk" ? "books" : "desk";
    const changes = { id: fleet.nextId(next), service: next };
    await fleet.startUpstream(upstream, changes);
    if (!keepsListed) return;
    await sleep(randomInteger(random, 1_000));
    store.remove(`servers/${id}`);
  };

  const gatewayFaults: Record<string, Fault> = {
    gateway_pause: async (duration) => {
      const { process } = pick(gateways);
      process.signal("SIGSTOP");
      await sleep(duration);
      process.signal("SIGCONT");
    },
    gateways_pause: async (duration) => {
      for (const { process } of gateways) process.signal("SIGSTOP");
      await sleep(Math.min(duration, SHORT_MILLISECONDS));
      for (const { process } of gateways) process.signal("SIGCONT");
    },
    gateway_kill: (duration) =>
      alone(gateways, async (gateway) => {
        gateway.process.signal("SIGKILL");
        await gateway.process.waitForExit();
        await sleep(random.next() < 0.5 ? 0 : duration / 2);
        await fleet.startGateway(gateway);
      }),
    gateway_stop: () =>
      alone(gateways, async (gateway) => {
        gateway.process.signal("SIGTERM");
        await gateway.process.waitForExit();
        await fleet.startGateway(gateway);
      }),
    gateway_reload: () => pick(gateways).process.signal("SIGHUP"),
    caller_pause: async (duration) => {
      const { child } = pick(callers);
      child.signal("SIGSTOP");
      await sleep(duration);
      child.signal("SIGCONT");
    },
    caller_kill: () =>
      alone(callers, async (caller) => {
        caller.child.signal("SIGKILL");
        await caller.child.waitForExit();
        await fleet.startCaller(caller);
      }),
  };

  const upstreamFaults: Record<string, Fault> = {
    upstream_pause: async (duration) => {
      const { child } = pick(upstreams);
      child.signal("SIGSTOP");
      await sleep(duration);
      child.signal("SIGCONT");
    },
    upstreams_pause: async (duration) => {
      const children = upstreams.map(({ child }) => child);
      for (const child of children) child.signal("SIGSTOP");
      await sleep(Math.min(duration, SHORT_MILLISECONDS));
      for (const child of children) child.signal("SIGCONT");
    },
    upstream_kill: (duration) =>
      alone(upstreams, async (upstream) => {
        upstream.child.signal("SIGKILL");
        await upstream.child.waitForExit();
        await sleep(random.next() < 0.5 ? 0 : duration / 2);
        await restartUpstream(upstream, random.next() < 0.5);
      }),
    upstream_stop: () =>
      alone(upstreams, async (upstream) => {
        if (random.next() < 0.5) fleet.list(upstream, "draining");
        else store.remove(`servers/${upstream.settings.id}`);
        await sleep(DRAIN_MILLISECONDS);
        upstream.child.signal("SIGTERM");
        await Promise.race([upstream.child.waitForExit(), sleep(1_500)]);
        upstream.child.signal("SIGKILL");
        await upstream.child.waitForExit();
        await restartUpstream(upstream, false);
      }),
    configuration: () => fleet.writeConfiguration(),
  };

  const proxied = () => upstreams.flatMap(({ proxy }) => proxy ? [proxy] : []);

  const linkFaults: Record<string, Fault> = {
    upstream_path: (duration) => degrade([pick(proxied())], duration),
    upstream_path_of_gateway: (duration) =>
      degrade([pick(proxied())], duration, pick(gateways).source),
    upstream_paths_of_gateway: (duration) =>
      degrade(proxied(), duration, pick(gateways).source),
    link: (duration) => degrade([pick(gateways).linkProxy], duration),
    link_of_gateway: (duration) =>
      degrade([pick(gateways).linkProxy], duration, pick(gateways).source),
    links: (duration) =>
      degrade(
        gateways.map(({ linkProxy }) => linkProxy),
        duration,
        pick(gateways).source,
      ),
    caller_path: (duration) => degrade([pick(gateways).callerProxy], duration),
    store_path: (duration) => degrade([pick(gateways).storeProxy], duration),
    store: async (duration) => {
      const affected = random.next() < 0.4 ? gateways : [pick(gateways)];
      const mode = pick(["busy", "silent", "deaf_watches"] as const);
      for (const { store } of affected) store.setMode(mode);
      await sleep(duration);
      for (const { store } of affected) store.setMode("serving");
    },
    store_restore: async (duration) => {
      const copy = store.copy();
      await sleep(duration);
      await store.restore(copy);
      for (const upstream of upstreams) {
        if (upstream.child.isRunning()) fleet.list(upstream);
      }
    },
    resets: () => {
      const proxies = random.next() < 0.5
        ? proxied()
        : gateways.map(({ linkProxy }) => linkProxy);
      for (const proxy of proxies) proxy.resetAll();
    },
  };

  const faults: Record<OrderPlay, Record<string, Fault>> = {
    gateways: gatewayFaults,
    upstreams: upstreamFaults,
    links: linkFaults,
    all: { ...gatewayFaults, ...upstreamFaults, ...linkFaults },
  };

  return {
    start() {
      const name = pick(Object.keys(faults[play]));
      const longest = random.next() < LONG_RATIO
        ? LONGEST_MILLISECONDS
        : SHORT_MILLISECONDS;
      const duration = SHORTEST_MILLISECONDS +
        randomInteger(random, longest - SHORTEST_MILLISECONDS);
      const ended = Promise.resolve(faults[play][name]!(duration));
      return { name: `${name} ${duration}`, ended };
    },
  };
}
