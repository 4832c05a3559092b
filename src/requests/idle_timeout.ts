import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import {
  type EngineClient,
  EngineLostError,
} from "../upstreams/engine_client.ts";

/// Detects a stream that delivers no more chunks.

/// Time without a chunk after which a stream counts as stalled.
const IDLE_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;
/// Smaller delays could be lost in the rounding of the clock's time.
const MINIMUM_DELAY_MILLISECONDS: Milliseconds = 1;
/// Time within which an engine has to respond to a probe.
const PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;

export interface IdleTimeout {
  /// Aborts with an `EngineLostError` when the stream has stalled.
  readonly signal: AbortSignal;
  /// Restarts the timeout when a chunk has arrived.
  recordChunk(): void;
  stop(): void;
}

export interface IdleTimeoutOptions {
  readonly clock: Clock;
  /// Whether inactivity is expected now, such as during prefill. Called when
  /// the timeout has expired.
  readonly isIdleExpected: () => Promise<boolean>;
}

/// Starts the idle timeout of one stream.
export function startIdleTimeout(options: IdleTimeoutOptions): IdleTimeout {
  const { clock, isIdleExpected } = options;
  const controller = new AbortController();
  let lastChunkAt = clock.now();
  let stopped = false;
  let timer: Timer;

  const check = async () => {
    const idleMilliseconds = clock.now() - lastChunkAt;
    if (idleMilliseconds < IDLE_TIMEOUT_MILLISECONDS) {
      const remaining = IDLE_TIMEOUT_MILLISECONDS - idleMilliseconds;
      return start(Math.max(MINIMUM_DELAY_MILLISECONDS, remaining));
    }
    const isExpected = await isIdleExpected();
    if (stopped) return;
    if (isExpected) return start(IDLE_TIMEOUT_MILLISECONDS);
    controller.abort(new EngineLostError("the stream stalled"));
  };

  const start = (delay: Milliseconds) => {
    timer = clock.schedule(delay, () => void check());
  };

  start(IDLE_TIMEOUT_MILLISECONDS);
  return {
    signal: controller.signal,
    recordChunk: () => void (lastChunkAt = clock.now()),
    stop() {
      stopped = true;
      timer.cancel();
    },
  };
}

/// Probes an engine. Resolves to whether it answers a control call in time.
export async function isResponsive(
  client: EngineClient,
  clock: Clock,
): Promise<boolean> {
  const cancellation = new AbortController();
  const timedOut = clock.sleep(PROBE_TIMEOUT_MILLISECONDS, cancellation.signal)
    .then(() => false, () => false);
  const answered = client.load().then(() => true, () => false);
  try {
    return await Promise.race([answered, timedOut]);
  } finally {
    cancellation.abort();
  }
}
