import type { Milliseconds } from "../support/clock.ts";
import type { Helper } from "./dialect.ts";
import type { EnginePlan, MemoryShare } from "./placement.ts";
import type { RequestContext } from "./request_context.ts";

/// Memory set aside on several engines for a prompt that none holds alone.
/// Each reservation is for one request; the hold time bounds it if this VM
/// dies.

/// Hold beyond the deadline of the request, so that it doesn't lapse while the
/// request ends.
const HOLD_MARGIN_MILLISECONDS: Milliseconds = 1_000;

export interface MemoryReservations {
  /// The helpers of the request, with the reservations of those that hold
  /// memory.
  readonly helpers: readonly Helper[];
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
    readonly remaining: Milliseconds;
    readonly attemptId: string | undefined;
  },
): Promise<MemoryReservations | undefined> {
  const { log, reservations, reservationPrefix } = context;
  const hold = Math.min(
    context.longestHold,
    options.remaining + HOLD_MARGIN_MILLISECONDS,
  );
  const made = options.shares.map((share) => ({
    ...share,
    id: `${reservationPrefix}-${nextReservation++}`,
  }));
  const results = await Promise.allSettled(
    made.map(({ candidate, tokens, id }) =>
      reservations.reserve(candidate.upstream, { id, tokens, hold })
    ),
  );
  const release = async () => {
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
      reason: result.status === "rejected"
        ? String(result.reason)
        : "no room",
    });
    await release();
    return undefined;
  }
  const ids = new Map(made.map(({ candidate, id }) => [candidate, id]));
  // Reservations are filled in the order in which they are listed.
  const helpers = [
    ...made.map(({ candidate }) => candidate),
    ...plan.helpers.filter((candidate) => !ids.has(candidate)),
  ].map((candidate): Helper => ({
    address: candidate.upstream.address,
    reservation: ids.get(candidate),
  }));
  return { helpers, release };
}
