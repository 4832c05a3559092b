import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Holding } from "../upstreams/engine_holdings.ts";
import type { CompletionRequest } from "./completion_request.ts";
import { LedgerUnavailableError } from "./ledger_router.ts";
import { RequestError } from "./request_error.ts";
import type {
  StreamClaim,
  StreamLedger,
  StreamPlacement,
} from "./stream_ledger.ts";

/// Long completions with an idempotency key. Their stream continues after the
/// caller's connection breaks or the VM fails, and a caller that reconnects
/// takes it over.

/// Time for which a stream waits for its caller to reconnect.
export const CALLER_GRACE_MILLISECONDS: Milliseconds = 60_000;
/// Time for which a finished stream can still be resumed.
const FINISHED_GRACE_MILLISECONDS: Milliseconds = 30_000;
/// Attempt numbers at engines that each claim of the ledger may use. Each
/// resumption uses one.
const ATTEMPT_NUMBERS_PER_CLAIM = 1_000;

const CLAIM_RETRY_DELAY_MILLISECONDS: Milliseconds = 500;

/// One claim of a request with a key, on the VM that runs it.
export interface ResumableRun {
  /// Attempt numbers at engines start above this one.
  readonly attemptBase: number;
  /// Location of an earlier claim's stream, which is to be resumed.
  readonly earlierPlacement: StreamPlacement | undefined;
  /// Records the location of the stream. Throws `RequestError` when a later
  /// claim has taken over.
  recordPlacement(engine: string, streamId: string): Promise<void>;
  /// Detaches from a stream that is no longer read. After `callerGone`, waits
  /// first for the caller to reconnect. Then releases the stream at the engine,
  /// unless a later claim has taken it over.
  leave(holding: Holding, reason: "callerGone" | "failed"): Promise<void>;
  /// Records that the caller has received the whole answer.
  finished(): void;
}

export interface ResumableStreams {
  /// Claims the request's key. Resolves to undefined without a key, or when the
  /// ledger is unavailable; then the request runs but can't be resumed. One that
  /// resumes a stream waits for the ledger. Throws `RequestError` when the key
  /// belongs to another request, or the signal's reason.
  claim(
    request: CompletionRequest,
    signal: AbortSignal,
  ): Promise<ResumableRun | undefined>;
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
    earlierPlacement: StreamPlacement | undefined,
  ): ResumableRun => {
    let placement = earlierPlacement && { ...earlierPlacement, attempt };

    const finish = () => void ledger.finish(key, attempt).catch(() => {});

    /// Resolves to true if the ledger fails. The stream is then not released,
    /// because a later claim may have taken it over.
    const isTakenOver = async () => {
      if (!placement) return false;
      try {
        return !await ledger.recordPlacement(key, placement);
      } catch {
        return true;
      }
    };

    const leave: ResumableRun["leave"] = async (holding, reason) => {
      if (reason === "callerGone") await clock.sleep(CALLER_GRACE_MILLISECONDS);
      if (await isTakenOver()) return holding.end();
      finish();
      await holding.release({ mayStartLate: true });
    };

    return {
      attemptBase: attempt * ATTEMPT_NUMBERS_PER_CLAIM,
      earlierPlacement,
      async recordPlacement(engine, streamId) {
        placement = { engine, streamId, attempt };
        const isCurrent = await ledger.recordPlacement(key, placement).catch(
          ignoreOutage,
        );
        if (!isCurrent) throw new RequestError("still_running");
      },
      leave,
      finished: () => void clock.schedule(FINISHED_GRACE_MILLISECONDS, finish),
    };
  };

  const claimOnce = async (
    { key, fingerprint, streamId }: StreamClaim,
  ): Promise<ResumableRun> => {
    const result = await ledger.claim({ key, fingerprint, streamId });
    if (result.kind === "differentRequest") {
      throw new RequestError("key_reused");
    }
    const earlierPlacement = result.kind === "takenOver"
      ? result.placement
      : undefined;
    return createRun(key, result.attempt, earlierPlacement);
  };

  return {
    async claim({ resumePoint, fingerprint, id }, signal) {
      if (!resumePoint) return undefined;
      const { key, offset } = resumePoint;
      while (true) {
        try {
          return await claimOnce({ key, fingerprint, streamId: id });
        } catch (error) {
          if (!(error instanceof LedgerUnavailableError)) throw error;
          if (offset === 0) return undefined;
        }
        await clock.sleep(CLAIM_RETRY_DELAY_MILLISECONDS, signal);
      }
    },
  };
}

/// Ignores that a placement could not be recorded: the stream continues, but
/// can't be resumed on another VM.
function ignoreOutage(error: unknown): true {
  if (error instanceof LedgerUnavailableError) return true;
  throw error;
}
