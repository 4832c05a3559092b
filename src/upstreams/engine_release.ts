import { raceAbort } from "../support/abort.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { EngineClient } from "./engine_client.ts";
import type { EngineClaim } from "./engine_reaper_messages.ts";

/// Gives engine memory back, again and again until the engine has confirmed.

/// Time one call may take before it is made again.
const CALL_LIMIT_MILLISECONDS = 2_000;
const RETRY_MILLISECONDS = 500;
const MAXIMUM_RETRY_MILLISECONDS = 5_000;
/// Time after which a call that was cut off takes no effect any more.
export const MAXIMUM_CALL_DELAY_MILLISECONDS: Milliseconds = 10_000;

export interface ReleaseOptions {
  readonly clock: Clock;
  /// The client of an engine, or undefined once the engine is out of use.
  readonly clientOf: (engine: string) => EngineClient | undefined;
  readonly signal: AbortSignal;
}

async function releaseOnce(client: EngineClient, claim: EngineClaim) {
  if (claim.kind === "reservation") return await client.release(claim.id);
  await client.cancel(claim.id);
  if (claim.kind === "span") await client.dropExport(claim.id);
}

async function withLimit(
  promise: Promise<void>,
  { clock, signal }: ReleaseOptions,
): Promise<void> {
  const stop = new AbortController();
  const timer = clock.schedule(
    CALL_LIMIT_MILLISECONDS,
    () => stop.abort(new Error("no answer")),
  );
  try {
    await raceAbort(promise, AbortSignal.any([signal, stop.signal]));
  } finally {
    timer.cancel();
  }
}

/// Releases `claim`. Resolves when the engine has confirmed or is out of use;
/// rejects only when `signal` aborts.
export async function releaseUntilConfirmed(
  claim: EngineClaim,
  options: ReleaseOptions,
): Promise<void> {
  let delay = RETRY_MILLISECONDS;
  while (true) {
    const client = options.clientOf(claim.engine);
    if (!client) return;
    try {
      return await withLimit(releaseOnce(client, claim), options);
    } catch {
      options.signal.throwIfAborted();
      await options.clock.sleep(delay, options.signal);
      delay = Math.min(2 * delay, MAXIMUM_RETRY_MILLISECONDS);
    }
  }
}
