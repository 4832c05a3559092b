import type { Clock, Milliseconds, Timer } from "../support/clock.ts";
import type { Reachability } from "../tunnels/upstream_dialler.ts";
import { acceptsConnections } from "./attempt_result.ts";

/// Watches one attempt for progress, which is a complete event or, before the
/// first one, the response.

/// Bytes that an upstream may send within one timeout without progress: a part
/// of an event or of a head.
const MAXIMUM_UNPRODUCTIVE_BYTES = 1_048_576;
/// Time after the estimated end of a prefill within which streams continue.
const PREFILL_MARGIN_MILLISECONDS: Milliseconds = 200;
/// Further inactivity that is allowed for a long prompt while its engine is
/// reachable: about the longest pass that other prompts cause.
const TIMEOUT_EXTENSION_MILLISECONDS: Milliseconds = 2_000;

export interface InactivityWatch {
  /// Waits for progress from now on. The upstream counts as silent each time
  /// that `timeout` has passed without any.
  restart(timeout: Milliseconds): void;
  stop(): void;
}

/// What decides how long the silence of an upstream is expected.
export interface SilenceConditions {
  /// Whether silence matters, since an attempt at another upstream may follow.
  readonly mayRetry: () => boolean;
  /// Whether a new attempt elsewhere costs more than a longer timeout.
  readonly extendsTimeout: boolean;
  /// Further inactivity that the upstream's other work accounts for.
  readonly remainingPrefill: () => Promise<Milliseconds>;
  /// Time after which a replacement would be too late, since the caller leaves.
  readonly replaceableFor: () => Milliseconds;
}

export interface InactivityWatchOptions extends SilenceConditions {
  readonly clock: Clock;
  /// Number of bytes received on the connection so far.
  readonly bytesReceived: () => number;
  /// What the upstream is sending now.
  readonly phase: () => "head" | "stream" | "body";
  /// Whether the response isn't read, since the caller reads slowly.
  readonly isPaused: () => boolean;
  readonly isTunnel: () => boolean;
  readonly check: () => Promise<Reachability>;
  /// Called when the upstream sends bytes without progress.
  readonly onUnproductive: (reason: string) => void;
  /// Called when the upstream is silent.
  readonly onSilence: (reason: string, reachability: Reachability) => void;
}

export function createInactivityWatch(
  options: InactivityWatchOptions,
): InactivityWatch {
  const { clock, bytesReceived, phase, isPaused } = options;
  let timer: Timer | undefined;
  let bytesBefore = 0;
  let wasExtended = false;
  /// Whether the timeout passed while other work of the upstream explained it.
  let hasWaited = false;

  const stop = () => {
    timer?.cancel();
    timer = undefined;
  };

  /// Returns how much longer the silence is expected; 0 if it isn't.
  const expectedSilence = (
    prefill: Milliseconds,
    { isReached, isDoubtful }: { isReached: boolean; isDoubtful: boolean },
  ): Milliseconds => {
    const latest = options.replaceableFor();
    if (latest <= 0) return 0;
    if (isReached && prefill > 0 && !(isDoubtful && hasWaited)) {
      hasWaited = true;
      return Math.min(prefill + PREFILL_MARGIN_MILLISECONDS, latest);
    }
    // A busy engine resumes a long prompt sooner than another engine would
    // complete a new prefill.
    const mayExtend = isReached && !isDoubtful && options.extendsTimeout;
    if (!mayExtend || wasExtended) return 0;
    wasExtended = true;
    return Math.min(TIMEOUT_EXTENSION_MILLISECONDS, latest);
  };

  /// `waited` is the time of this wait, and `timeout` that of the next one.
  const onTimeout = async (
    { waited, timeout }: { waited: Milliseconds; timeout: Milliseconds },
    scheduled: Timer,
  ) => {
    const received = bytesReceived() - bytesBefore;
    if (received > MAXIMUM_UNPRODUCTIVE_BYTES && !isPaused()) {
      if (phase() === "stream") {
        return options.onUnproductive("bytes without an event");
      }
      if (phase() === "head") {
        return options.onUnproductive("a head without end");
      }
    }
    if (isPaused() || !options.mayRetry()) return restart(timeout);
    const [prefill, reachability] = await Promise.all([
      options.remainingPrefill(),
      options.check(),
    ]);
    // Data may have arrived meanwhile.
    if (timer !== scheduled) return;
    const isReached = acceptsConnections(reachability);
    // Open connections may go on in a partition that refuses new ones.
    const isDoubtful = reachability === "through_others" &&
      !options.isTunnel();
    const expected = expectedSilence(prefill, { isReached, isDoubtful });
    if (expected > 0) return wait(expected, timeout);
    const place = isDoubtful ? " on a lost path" : " and unreachable";
    const reason = `silent for ${Math.round(waited)} ms`;
    options.onSilence(
      isReached && !isDoubtful ? reason : reason + place,
      reachability,
    );
    // The attempt may have ended.
    if (timer === scheduled) restart(timeout);
  };

  /// Waits for `waited`, and for `timeout` each time after that.
  const wait = (waited: Milliseconds, timeout: Milliseconds) => {
    stop();
    bytesBefore = bytesReceived();
    const scheduled = clock.schedule(waited, () => {
      onTimeout({ waited, timeout }, scheduled).catch(() => {
        // Nothing is known of the upstream, which may still respond.
        if (timer === scheduled) restart(timeout);
      });
    });
    timer = scheduled;
  };

  const restart = (timeout: Milliseconds) => wait(timeout, timeout);

  return { restart, stop };
}
