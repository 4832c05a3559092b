import { raceAbort } from "../support/abort.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import {
  EngineNotReachedError,
  EngineRefusedError,
} from "../upstreams/engine_client.ts";
import type { EngineView } from "../upstreams/engine_directory.ts";
import type { EngineHoldings } from "../upstreams/engine_holdings.ts";

/// Memory that a request reserves at an engine, under a short lease that is
/// renewed until the request ends.

const LEASE_MILLISECONDS: Milliseconds = 15_000;
const RENEWAL_INTERVAL_MILLISECONDS: Milliseconds = 5_000;
/// Time within which an engine has to answer a reservation.
const RESERVE_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;

export interface EngineReservation {
  readonly engine: EngineView;
  readonly id: string;
  /// Stops the renewal and frees the memory in the background. Resolves when
  /// the engine has confirmed.
  release(): Promise<void>;
}

export interface ReserveOptions {
  readonly clock: Clock;
  readonly holdings: EngineHoldings;
  /// Name of the reservation, unique on this VM.
  readonly name: string;
  readonly tokens: number;
  readonly signal: AbortSignal;
}

/// Reserves memory. Throws the errors of the engine's client or the signal's
/// abort reason. Nothing stays reserved after an error.
export async function reserveMemory(
  engine: EngineView,
  options: ReserveOptions,
): Promise<EngineReservation> {
  const { clock, holdings, name, tokens } = options;
  const { client, upstream } = engine;
  const holding = holdings.hold(upstream.name, "reservation", name);
  const { id } = holding;
  const timeout = new AbortController();
  const timer = clock.schedule(
    RESERVE_TIMEOUT_MILLISECONDS,
    () => timeout.abort(new EngineRefusedError("reservation timed out")),
  );
  const signal = AbortSignal.any([options.signal, timeout.signal]);
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
    if (isCertainlyNotReserved(error, timeout.signal)) holding.end();
    else holding.release({ mayStartLate: true });
    throw error;
  } finally {
    timer.cancel();
  }
  const renewal = startRenewal(engine, id, clock);
  return {
    engine,
    id,
    release() {
      renewal.cancel();
      return holding.release();
    },
  };
}

function isCertainlyNotReserved(
  error: unknown,
  timedOut: AbortSignal,
): boolean {
  if (timedOut.aborted) return false;
  return error instanceof EngineRefusedError ||
    error instanceof EngineNotReachedError;
}

/// Renews the lease at each interval. A failed renewal is retried only at the
/// next one, since the lease lasts for several intervals.
function startRenewal(
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
