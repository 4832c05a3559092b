import { raceAbort } from "../support/abort.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { EngineClient } from "./engine_client.ts";
import type { EngineClaim } from "./engine_reaper_messages.ts";

/// Releases engine memory, with retries until the engine has confirmed.

/// Time after which a call without a response is retried.
const CALL_TIMEOUT_MILLISECONDS = 2_000;
const INITIAL_RETRY_DELAY_MILLISECONDS = 500;
const MAXIMUM_RETRY_DELAY_MILLISECONDS = 5_000;
/// Time after which an aborted call can no longer take effect at the engine.
export const MAXIMUM_CALL_DELAY_MILLISECONDS: Milliseconds = 10_000;

export interface ReleaseOptions {
  readonly clock: Clock;
  /// The client of an engine, or undefined once the engine is no longer in use.
  readonly clientOf: (engine: string) => EngineClient | undefined;
  readonly signal: AbortSignal;
}

async function releaseOnce(client: EngineClient, claim: EngineClaim) {
  if (claim.kind === "reservation") return await client.release(claim.id);
  await client.cancel(claim.id);
  if (claim.kind === "span") await client.dropExport(claim.id);
}

async function withCallTimeout(
  promise: Promise<void>,
  { clock, signal }: ReleaseOptions,
): Promise<void> {
  const stop = new AbortController();
  const timer = clock.schedule(
    CALL_TIMEOUT_MILLISECONDS,
    () => stop.abort(new Error("the engine did not respond in time")),
  );
  try {
    await raceAbort(promise, AbortSignal.any([signal, stop.signal]));
  } finally {
    timer.cancel();
  }
}

/// Releases `claim`. Resolves when the engine has confirmed or is no longer in
/// use; rejects only when `signal` aborts.
export async function releaseUntilConfirmed(
  claim: EngineClaim,
  options: ReleaseOptions,
): Promise<void> {
  let delay = INITIAL_RETRY_DELAY_MILLISECONDS;
  while (true) {
    const client = options.clientOf(claim.engine);
    if (!client) return;
    try {
      return await withCallTimeout(releaseOnce(client, claim), options);
    } catch {
      options.signal.throwIfAborted();
      await options.clock.sleep(delay, options.signal);
      delay = Math.min(2 * delay, MAXIMUM_RETRY_DELAY_MILLISECONDS);
    }
  }
}
