import type { Milliseconds } from "../support/clock.ts";
import type { HelperEngine } from "./dialect.ts";
import type { EnginePlan, MemoryShare } from "./placement.ts";
import type { RequestContext } from "./request_context.ts";

/// Memory set aside on several engines for a prompt that none holds alone.
/// Each reservation is for one request. It is held for a short time and
/// renewed, so that it lapses soon if this VM dies.

/// Below the time after which memory without a request counts as leaked on
/// the platform (`FreeMs`, 4 s on all sites).
const HOLD_MILLISECONDS: Milliseconds = 3_400;
/// Two renewals may be lost before a reservation lapses.
const RENEWAL_MILLISECONDS: Milliseconds = 1_100;

export interface MemoryReservations {
  /// The helpers of the request, with the reservations of those that hold
  /// memory.
  readonly helpers: readonly HelperEngine[];
  /// Releases everything; resolves when all engines have been told.
  release(): Promise<void>;
}

let nextReservation = 0;

/// Reserves all shares, or none: resolves to undefined if an engine refuses.
export async function reserveMemory(
  context: RequestContext,
  plan: EnginePlan,
  options: {
    readonly shares: readonly MemoryShare[];
    readonly attemptId: string | undefined;
  },
): Promise<MemoryReservations | undefined> {
  const { log, reservations, reservationPrefix } = context;
  const hold = Math.min(context.maximumHold, HOLD_MILLISECONDS);
  const made = options.shares.map((share) => ({
    ...share,
    id: `${reservationPrefix}-${nextReservation++}`,
  }));
  const results = await Promise.allSettled(
    made.map(({ candidate, tokens, id }) =>
      reservations.reserve(candidate.upstream, {
        id,
        tokens,
        leaseDuration: hold,
      })
    ),
  );
  const released = new AbortController();
  const renew = async () => {
    while (!released.signal.aborted) {
      await context.clock.sleep(RENEWAL_MILLISECONDS, released.signal)
        .catch(() => {
          // Released while waiting; the loop ends.
        });
      if (released.signal.aborted) return;
      await Promise.all(made.map(async ({ candidate, tokens, id }) => {
        const { upstream } = candidate;
        try {
          await reservations.reserve(upstream, {
            id,
            tokens,
            leaseDuration: hold,
          });
        } catch (error) {
          log.warn("reservation not renewed", {
            request: options.attemptId,
            upstream: upstream.id,
            reservation: id,
            reason: (error as Error).message,
          });
        }
      }));
    }
  };
  const release = async () => {
    released.abort(new Error("released"));
    // An engine that refused holds nothing; one that did not answer may.
    const held = made.filter((_, index) => {
      const result = results[index]!;
      return result.status === "rejected" || result.value;
    });
    await Promise.all(held.map(async ({ candidate, id }) => {
      const { upstream } = candidate;
      try {
        await reservations.release(upstream, id);
      } catch (error) {
        log.warn("reservation not released", {
          upstream: upstream.id,
          reservation: id,
          reason: (error as Error).message,
          lapsesWithin: hold,
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
      request: options.attemptId,
      upstream: made[refused]!.candidate.upstream.id,
      tokens: made[refused]!.tokens,
      reason: result.status === "rejected" ? String(result.reason) : "no room",
    });
    await release();
    return undefined;
  }
  void renew();
  const ids = new Map(made.map(({ candidate, id }) => [candidate, id]));
  // Reservations are filled in the order in which they are listed.
  const helpers = [
    ...made.map(({ candidate }) => candidate),
    ...plan.helpers.filter((candidate) => !ids.has(candidate)),
  ].map((candidate): HelperEngine => ({
    address: candidate.upstream.address,
    reservation: ids.get(candidate),
  }));
  return { helpers, release };
}
