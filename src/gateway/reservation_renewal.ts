import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";

/// Renews a reservation of memory at an engine while its request may use it.

const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 1_100;
/// Delay after a renewal that failed. An engine that was silent for two seconds
/// still gets the next one before the reservation expires.
const RENEWAL_RETRY_DELAY_MILLISECONDS: Milliseconds = 100;

export interface ReservationRenewal {
  /// ID of the engine.
  readonly upstream: string;
  /// ID of the reservation.
  readonly id: string;
  readonly attemptId: string | undefined;
  /// Time until which the reservation is renewed whether or not it is used.
  readonly unusedUntil: Milliseconds;
  readonly renew: () => Promise<unknown>;
  /// Resolves to whether a request uses the reservation.
  readonly isUsed: () => Promise<boolean>;
  /// Ends the renewals.
  readonly signal: AbortSignal;
}

/// Renews until the signal is aborted, or until the engine says that no request
/// uses the memory: the engine that runs the request may hang before it does, and
/// others wait for the memory.
export async function renewReservation(
  { clock, log }: { readonly clock: Clock; readonly log: Logger },
  renewal: ReservationRenewal,
): Promise<void> {
  const { upstream, id, attemptId, signal } = renewal;
  const fields = { request: attemptId, upstream, reservation: id };
  let delay = RENEWAL_INTERVAL_MILLISECONDS;
  while (!signal.aborted) {
    await clock.sleep(delay, signal).catch(() => {
      // Released while waiting; the loop ends.
    });
    if (signal.aborted) return;
    try {
      if (clock.now() >= renewal.unusedUntil && !await renewal.isUsed()) {
        return log.warn("unused reservation not renewed", fields);
      }
      if (signal.aborted) return;
      await renewal.renew();
      delay = RENEWAL_INTERVAL_MILLISECONDS;
    } catch (error) {
      delay = RENEWAL_RETRY_DELAY_MILLISECONDS;
      const reason = (error as Error).message;
      log.warn("reservation not renewed", { ...fields, reason });
    }
  }
}
