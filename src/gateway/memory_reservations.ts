import type { Dispatcher } from "undici";
import type { Milliseconds } from "../support/clock.ts";
import type { HelperEngine } from "./dialect.ts";
import type { RequestContext } from "./request_context.ts";
import type { Placement } from "./request_placer.ts";
import { renewReservation } from "./reservation_renewal.ts";
import type { UpstreamConnection } from "./upstream_connections.ts";

/// Reserves memory on several engines for a prompt that fits into none of them
/// alone. Each reservation is for one request. It has a short lifetime and is
/// renewed, so that it expires soon if this VM fails.

/// Shorter than the time after which the platform counts memory without a
/// request as leaked (`FreeMs`, 4 s on all sites).
const RESERVATION_LIFETIME_MILLISECONDS: Milliseconds = 3_400;

export interface MemoryReservations {
  /// The helper engines of the request, with the reservations of those that
  /// hold memory.
  readonly helpers: readonly HelperEngine[];
  /// Releases all reservations; resolves when every release has succeeded or
  /// failed.
  release(): Promise<void>;
}

/// How reserving the memory of a placement ended.
export type ReservationResult =
  | { readonly kind: "reserved"; readonly reservations: MemoryReservations }
  /// `unresponsive` has the ids of engines whose calls failed.
  | { readonly kind: "refused"; readonly unresponsive: readonly string[] };

let nextReservation = 0;

/// Makes one call over a connection, which is kept unless the call fails.
async function useConnection<Result>(
  connection: UpstreamConnection,
  call: (client: Dispatcher) => Promise<Result>,
): Promise<Result> {
  try {
    const result = await call(connection.client);
    connection.release();
    return result;
  } catch (error) {
    connection.discard();
    throw error;
  }
}

/// Reserves all shares, or none if an engine refuses or the call fails.
export async function reserveMemory(
  context: RequestContext,
  placement: Placement,
  attemptId: string | undefined,
): Promise<ReservationResult> {
  const { log, connections, reservations, reservationPrefix } = context;
  const lifetime = Math.min(
    context.maximumReservationLifetime,
    RESERVATION_LIFETIME_MILLISECONDS,
  );
  const entries = placement.reserved.map((share) => ({
    ...share,
    id: `${reservationPrefix}-${nextReservation++}`,
  }));
  const reserve = ({ upstream, tokens, id }: typeof entries[number]) =>
    useConnection(
      connections.acquire(upstream.address),
      (client) =>
        reservations.reserve(client, { id, tokens, leaseDuration: lifetime }),
    );
  const results = await Promise.allSettled(entries.map(reserve));
  const released = new AbortController();
  const release = async () => {
    released.abort(new Error("released"));
    // An engine that refused holds no memory; one that didn't respond may.
    const held = entries.filter((_, index) => {
      const result = results[index]!;
      return result.status === "rejected" || result.value;
    });
    await Promise.all(held.map(async ({ upstream, id }) => {
      try {
        await useConnection(
          connections.acquire(upstream.address),
          (client) => reservations.release(client, id),
        );
      } catch (error) {
        log.warn("reservation not released", {
          upstream: upstream.id,
          reservation: id,
          reason: (error as Error).message,
          lapsesWithin: lifetime,
        });
      }
    }));
  };
  const refused = results.findIndex((result) =>
    result.status === "rejected" || !result.value
  );
  if (refused >= 0) {
    const result = results[refused]!;
    log.warn("memory not reserved", {
      request: attemptId,
      upstream: entries[refused]!.upstream.id,
      tokens: entries[refused]!.tokens,
      reason: result.status === "rejected"
        ? String(result.reason)
        : "not enough memory",
    });
    await release();
    const unresponsive = entries.flatMap(({ upstream }, index) =>
      results[index]!.status === "rejected" ? [upstream.id] : []
    );
    return { kind: "refused", unresponsive };
  }
  const unusedUntil = context.clock.now() +
    context.maximumUnusedReservation - lifetime;
  for (const entry of entries) {
    void renewReservation(context, {
      upstream: entry.upstream.id,
      id: entry.id,
      attemptId,
      unusedUntil,
      renew: () => reserve(entry),
      isUsed: () =>
        useConnection(
          connections.acquire(entry.upstream.address),
          (client) => reservations.isUsed(client, entry.id),
        ),
      signal: released.signal,
    });
  }
  const ids = new Map(entries.map(({ upstream, id }) => [upstream, id]));
  // Engines fill the reservations in the order of this list.
  const helpers = [
    ...entries.map(({ upstream }) => upstream),
    ...placement.helpers.filter((upstream) => !ids.has(upstream)),
  ].map((upstream): HelperEngine => ({
    address: upstream.address,
    reservation: ids.get(upstream),
  }));
  return { kind: "reserved", reservations: { helpers, release } };
}
