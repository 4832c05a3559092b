import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import {
  type EngineClient,
  EngineLostError,
} from "../upstreams/engine_client.ts";

/// Notices a stream from which nothing comes any more.

/// Time without a chunk after which a stream counts as stalled.
const SILENCE_LIMIT_MILLISECONDS: Milliseconds = 5_000;
/// Smaller delays could vanish in the rounding of the clock's time.
const MINIMUM_DELAY_MILLISECONDS: Milliseconds = 1;
/// Time an engine has to show that it is alive.
const PROBE_LIMIT_MILLISECONDS: Milliseconds = 2_000;

export interface SilenceWatch {
  /// Aborts with an `EngineLostError` when the stream has stalled.
  readonly signal: AbortSignal;
  /// Notes a chunk.
  touch(): void;
  stop(): void;
}

export interface SilenceWatchOptions {
  readonly clock: Clock;
  /// Whether silence is normal now, as while a prompt is prefilled. Asked
  /// when the limit has passed.
  readonly mayBeSilent: () => Promise<boolean>;
}

/// Starts to watch one stream.
export function watchSilence(options: SilenceWatchOptions): SilenceWatch {
  const { clock, mayBeSilent } = options;
  const controller = new AbortController();
  let lastChunkAt = clock.now();
  let stopped = false;
  let timer: Timer;

  const check = async () => {
    const silent = clock.now() - lastChunkAt;
    if (silent < SILENCE_LIMIT_MILLISECONDS) {
      const rest = SILENCE_LIMIT_MILLISECONDS - silent;
      return start(Math.max(MINIMUM_DELAY_MILLISECONDS, rest));
    }
    const isNormal = await mayBeSilent();
    if (stopped) return;
    if (isNormal) return start(SILENCE_LIMIT_MILLISECONDS);
    controller.abort(new EngineLostError("the stream stalled"));
  };

  const start = (delay: Milliseconds) => {
    timer = clock.schedule(delay, () => void check());
  };

  start(SILENCE_LIMIT_MILLISECONDS);
  return {
    signal: controller.signal,
    touch: () => void (lastChunkAt = clock.now()),
    stop() {
      stopped = true;
      timer.cancel();
    },
  };
}

/// Whether an engine answers a control call in time.
export async function isAnswering(
  client: EngineClient,
  clock: Clock,
): Promise<boolean> {
  const limit = new AbortController();
  const late = clock.sleep(PROBE_LIMIT_MILLISECONDS, limit.signal)
    .then(() => false, () => false);
  const answered = client.load().then(() => true, () => false);
  try {
    return await Promise.race([answered, late]);
  } finally {
    limit.abort();
  }
}
