import { raceAbort } from "../support/abort.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import {
  EngineNotReachedError,
  EngineRefusedError,
} from "../upstreams/engine_client.ts";
import type { EngineView } from "../upstreams/engine_directory.ts";
import type { EngineHoldings } from "../upstreams/engine_holdings.ts";

/// Reserved memory of an engine, under a short lease that is renewed while
/// the request lives.

const LEASE_MILLISECONDS: Milliseconds = 15_000;
const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 5_000;
/// Time an engine may take to answer a reservation.
const RESERVE_LIMIT_MILLISECONDS: Milliseconds = 2_000;

export interface EngineReservation {
  readonly engine: EngineView;
  readonly id: string;
  /// Stops the renewal and frees the memory in the background, then resolves.
  release(): Promise<void>;
}

export interface ReserveOptions {
  readonly clock: Clock;
  readonly holdings: EngineHoldings;
  /// Unique on this VM.
  readonly name: string;
  readonly tokens: number;
  readonly signal: AbortSignal;
}

/// Reserves memory. Throws what the engine's client throws, or the signal's
/// reason; then nothing stays reserved.
export async function reserveMemory(
  engine: EngineView,
  options: ReserveOptions,
): Promise<EngineReservation> {
  const { clock, holdings, name, tokens } = options;
  const { client, upstream } = engine;
  const holding = holdings.hold(upstream.name, "reservation", name);
  const { id } = holding;
  const stop = new AbortController();
  const timer = clock.schedule(
    RESERVE_LIMIT_MILLISECONDS,
    () => stop.abort(new EngineRefusedError("reservation not answered")),
  );
  const signal = AbortSignal.any([options.signal, stop.signal]);
  try {
    await raceAbort(holding.announced, signal);
    const call = {
      id,
      owner: id,
      tokens,
      leaseMilliseconds: LEASE_MILLISECONDS,
    };
    await raceAbort(client.reserve(call), signal);
  } catch (error) {
    if (isCertainlyUnheld(error, stop.signal)) holding.end();
    else holding.release({ mayStartLate: true });
    throw error;
  } finally {
    timer.cancel();
  }
  const renewal = keepRenewing(engine, id, clock);
  return {
    engine,
    id,
    release() {
      renewal.cancel();
      return holding.release();
    },
  };
}

function isCertainlyUnheld(error: unknown, timedOut: AbortSignal): boolean {
  if (timedOut.aborted) return false;
  return error instanceof EngineRefusedError ||
    error instanceof EngineNotReachedError;
}

/// A renewal that fails is tried again at the next interval; the lease lasts
/// for several.
function keepRenewing(
  { client }: EngineView,
  id: string,
  clock: Clock,
): Timer {
  const renew = () => {
    timer = clock.schedule(RENEWAL_INTERVAL_MILLISECONDS, renew);
    client.renew(id, LEASE_MILLISECONDS).catch(() => {});
  };
  let timer = clock.schedule(RENEWAL_INTERVAL_MILLISECONDS, renew);
  return { cancel: () => timer.cancel() };
}
