import type { Clock } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import { withTimeout } from "../support/timeout.ts";
import {
  LEDGER_CONFIRM_TIMEOUT_MILLISECONDS,
  type LedgerRouter,
  LedgerUnavailableError,
} from "./ledger_router.ts";
import type { LedgerOperation, LedgerReply } from "./ledger_operation.ts";

/// Records where the streams of long requests run, so that a caller that
/// reconnects with its key to another VM can resume its stream there.

/// Location of an attempt's stream.
export interface StreamPlacement {
  readonly engine: string;
  readonly streamId: string;
  readonly attempt: number;
}

export interface StreamClaim {
  /// Customer and idempotency key.
  readonly key: string;
  /// Digest of the request, so that a key can't be used for another request.
  readonly fingerprint: string;
  /// Id of the stream that the claiming attempt would start.
  readonly streamId: string;
}

export type StreamClaimResult =
  | { readonly kind: "started"; readonly attempt: number }
  | {
    readonly kind: "takenOver";
    readonly attempt: number;
    /// Location of the earlier attempt's stream, if it was recorded.
    readonly placement: StreamPlacement | undefined;
  }
  | { readonly kind: "differentRequest" };

export interface StreamLedger {
  /// Claims the key for a new attempt, whose number is above all earlier ones.
  claim(claim: StreamClaim): Promise<StreamClaimResult>;
  /// Records the location of the attempt's stream. Resolves to false when an
  /// attempt with a larger number took over.
  recordPlacement(key: string, placement: StreamPlacement): Promise<boolean>;
  /// Records that the attempt has ended, unless an attempt with a larger number
  /// took over.
  finish(key: string, attempt: number): Promise<void>;
}

export interface StreamLedgerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly router: LedgerRouter;
}

const CLAIM_ID_BYTES = 12;

function unexpectedReply({ kind }: LedgerReply): LedgerUnavailableError {
  return new LedgerUnavailableError(`unexpected ledger reply "${kind}"`);
}

/// Stores the records in the shards of the ledger. Every method throws
/// `LedgerUnavailableError` when the ledger can't confirm the change.
export function createStreamLedger(options: StreamLedgerOptions): StreamLedger {
  const { clock, random, router } = options;

  const submit = (operation: LedgerOperation) =>
    withTimeout(router.submit(operation), {
      clock,
      limit: LEDGER_CONFIRM_TIMEOUT_MILLISECONDS,
      onTimeout: () => new LedgerUnavailableError("confirmation timed out"),
    });

  return {
    async claim({ key, fingerprint }) {
      const reply = await submit({
        kind: "claimStream",
        key,
        fingerprint,
        claimId: random.hex(CLAIM_ID_BYTES),
        claimedAt: clock.wallTime(),
      });
      switch (reply.kind) {
        case "started":
        case "differentRequest":
          return reply;
        case "takenOver":
          return { ...reply, placement: reply.placement };
        default:
          throw unexpectedReply(reply);
      }
    },
    async recordPlacement(key, placement) {
      const operation = { kind: "placeStream", key, placement } as const;
      const reply = await submit(operation);
      if (reply.kind === "done") return true;
      if (reply.kind === "superseded") return false;
      throw unexpectedReply(reply);
    },
    async finish(key, attempt) {
      await submit({ kind: "finishStream", key, attempt });
    },
  };
}
