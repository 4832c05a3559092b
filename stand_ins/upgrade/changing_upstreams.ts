import { setTimeout as sleep } from "node:timers/promises";
import { randomInteger, type RandomSource } from "../../src/support/random.ts";
import type { PlatformStore } from "../platform/platform_store.ts";
import {
  type ReceivedRequest,
  type ScriptedUpstream,
  startScriptedUpstream,
  type UpstreamAction,
} from "../platform/scripted_upstream.ts";
import { SOAK_EVENTS, streamEvent } from "../soak/invariants.ts";

/// Upstreams of a deployment that leave and crash while it is upgraded.

/// The platform's bound for the time in which all VMs stop sending requests to an
/// upstream that leaves.
const LEAVING_MILLISECONDS = 2_000;
/// Time after which the store lists an upstream no more that has crashed.
const LISTED_MILLISECONDS = 2_000;
const MAXIMUM_PAUSE_MILLISECONDS = 70;

/// The upstreams of all services.
export interface ChangingUpstreams {
  readonly all: readonly ScriptedUpstream[];
  /// The runs of a request at all upstreams.
  executionsOf(id: string): readonly ReceivedRequest[];
  hasCrashed(id: string | undefined): boolean;
  add(service: string, id: string): Promise<void>;
  /// Starts a successor and lets an upstream leave. Resolves to the number of
  /// requests that reached it too late.
  leave(service: string, id: string): Promise<number>;
  /// Starts a successor and lets an upstream crash.
  crash(service: string, id: string): Promise<void>;
  close(): void;
}

export interface ChangingUpstreamsOptions {
  readonly random: RandomSource;
  readonly store: PlatformStore;
}

/// Creates a deployment's upstreams, of which there are none yet.
export function createChangingUpstreams(
  { random, store }: ChangingUpstreamsOptions,
): ChangingUpstreams {
  const all: ScriptedUpstream[] = [];
  const executions = new Map<string, ReceivedRequest[]>();
  const leaving = new Set<string>();
  const crashed = new Set<string | undefined>();

  const act = (request: ReceivedRequest): UpstreamAction => {
    const id = String(request.headers["x-attempt-id"]);
    executions.set(id, [...executions.get(id) ?? [], request]);
    if (!request.target.startsWith("/ask/")) {
      return { kind: "answer", body: `done ${id}` };
    }
    return {
      kind: "stream",
      from: Number(request.headers["last-event-id"] ?? 0) + 1,
      to: SOAK_EVENTS,
      pauseMilliseconds: randomInteger(random, MAXIMUM_PAUSE_MILLISECONDS),
      formatEvent: (event) => streamEvent(id, event),
    };
  };

  const add: ChangingUpstreams["add"] = async (service, id) => {
    const upstream = await startScriptedUpstream({
      id,
      act,
      headers: (): Record<string, string> =>
        leaving.has(id) ? { "Server-Leaving": "1" } : {},
    });
    all.push(upstream);
    store.put(`servers/${id}`, upstream.entry(service));
  };

  const find = (id: string) => all.find((upstream) => upstream.id === id)!;

  return {
    all,
    executionsOf: (id) => executions.get(id) ?? [],
    hasCrashed: (id) => crashed.has(id),
    add,
    async leave(service, id) {
      await add(service, `${id}-next`);
      const upstream = find(id);
      leaving.add(id);
      const leftAt = performance.now();
      store.put(`servers/${id}`, upstream.entry(service, "draining", 2));
      await sleep(2 * LEAVING_MILLISECONDS);
      store.remove(`servers/${id}`);
      upstream.close();
      return upstream.requests.filter(({ receivedAt }) =>
        receivedAt > leftAt + LEAVING_MILLISECONDS
      ).length;
    },
    async crash(service, id) {
      await add(service, `${id}-next`);
      crashed.add(id);
      find(id).close();
      await sleep(LISTED_MILLISECONDS);
      store.remove(`servers/${id}`);
    },
    close() {
      for (const upstream of all) upstream.close();
    },
  };
}
