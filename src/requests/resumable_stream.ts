import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Holding } from "../upstreams/engine_holdings.ts";
import type { CompletionRequest } from "./completion_request.ts";
import { LedgerUnavailableError } from "./ledger_router.ts";
import { RequestError } from "./request_error.ts";
import type { StreamLedger, StreamPlacement } from "./stream_ledger.ts";

/// Long completions with a key: their stream outlives the caller's connection
/// and the entry, and a caller that comes back takes it over.

/// Time for which a stream waits for its caller to come back.
export const CALLER_GRACE_MILLISECONDS: Milliseconds = 60_000;
/// Time for which a finished stream can be asked for again.
const FINISHED_GRACE_MILLISECONDS: Milliseconds = 30_000;
/// Attempt numbers at the engine for each attempt of the ledger: one is used
/// for each resumption.
const ATTEMPT_STEP = 1_000;

/// One try of a keyed request.
export interface ResumableRun {
  /// The first attempt number to use at engines.
  readonly attemptBase: number;
  /// The stream of an earlier try, to be resumed.
  readonly earlierPlacement: StreamPlacement | undefined;
  /// Records where the try streams. Throws `RequestError` when a later try has
  /// taken over.
  recordPlacement(engine: string, streamId: string): Promise<void>;
  /// Disposes of a stream that this try no longer reads: it is left to a later
  /// try, to a caller that may come back, or released.
  leave(holding: Holding, why: "callerGone" | "failed"): Promise<void>;
  /// Notes that the caller has the whole answer.
  finished(): void;
}

export interface ResumableStreams {
  /// Claims the request's key. Undefined without a key, or when the ledger
  /// can't be reached: then the request runs but can't be resumed.
  claim(request: CompletionRequest): Promise<ResumableRun | undefined>;
}

export interface ResumableStreamsOptions {
  readonly clock: Clock;
  readonly ledger: StreamLedger;
}

export function createResumableStreams(
  options: ResumableStreamsOptions,
): ResumableStreams {
  const { clock, ledger } = options;

  const createRun = (
    key: string,
    attempt: number,
    earlier: StreamPlacement | undefined,
  ): ResumableRun => {
    let placement = earlier && { ...earlier, attempt };

    const finish = () => void ledger.finish(key, attempt).catch(() => {});

    /// A try that can't find out leaves the stream to whoever has it.
    const isTakenOver = async () => {
      if (!placement) return false;
      try {
        return !await ledger.recordPlacement(key, placement);
      } catch {
        return true;
      }
    };

    const leave: ResumableRun["leave"] = async (holding, why) => {
      if (why === "callerGone") await clock.sleep(CALLER_GRACE_MILLISECONDS);
      if (await isTakenOver()) return holding.end();
      finish();
      await holding.release({ mayStartLate: true });
    };

    return {
      attemptBase: attempt * ATTEMPT_STEP,
      earlierPlacement: earlier,
      async recordPlacement(engine, streamId) {
        placement = { engine, streamId, attempt };
        const isMine = await ledger.recordPlacement(key, placement).catch(
          ignoreOutage,
        );
        if (!isMine) throw new RequestError("still_running");
      },
      leave,
      finished: () => void clock.schedule(FINISHED_GRACE_MILLISECONDS, finish),
    };
  };

  return {
    async claim({ resumePoint: resumable, fingerprint, id }) {
      if (!resumable) return undefined;
      const { key } = resumable;
      try {
        const result = await ledger.claim({ key, fingerprint, streamId: id });
        if (result.kind === "differentRequest") {
          throw new RequestError("key_reused");
        }
        const earlier = result.kind === "takenOver"
          ? result.placement
          : undefined;
        return createRun(key, result.attempt, earlier);
      } catch (error) {
        if (error instanceof LedgerUnavailableError) return undefined;
        throw error;
      }
    },
  };
}

/// A stream whose place could not be recorded runs on; it can't be resumed
/// elsewhere.
function ignoreOutage(error: unknown): true {
  if (error instanceof LedgerUnavailableError) return true;
  throw error;
}
