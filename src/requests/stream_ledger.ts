import type { Clock } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import { withTimeout } from "../support/timeout.ts";
import {
  LEDGER_CONFIRM_TIMEOUT_MILLISECONDS,
  type LedgerRouter,
  LedgerUnavailableError,
} from "./ledger_router.ts";
import type { LedgerOperation, LedgerReply } from "./ledger_operation.ts";

/// The record of where long requests stream, so that a caller that comes back
/// with its key at another entry resumes its stream there.

/// Where an attempt's stream runs.
export interface StreamPlacement {
  readonly engine: string;
  readonly streamId: string;
  readonly attempt: number;
}

export interface StreamClaim {
  /// Customer and idempotency key.
  readonly key: string;
  /// Digest of the request, so that a key can't be used for another one.
  readonly fingerprint: string;
  /// Stream that the claiming attempt would start.
  readonly streamId: string;
}

export type StreamClaimResult =
  | { readonly kind: "started"; readonly attempt: number }
  | {
    readonly kind: "takenOver";
    readonly attempt: number;
    /// Where the earlier attempt ran, if it got that far.
    readonly placement: StreamPlacement | undefined;
  }
  | { readonly kind: "differentRequest" };

export interface StreamLedger {
  /// Claims the key for a new attempt, with a number above all earlier ones.
  claim(claim: StreamClaim): Promise<StreamClaimResult>;
  /// Records where the attempt streams. Resolves to false when a larger
  /// attempt took over.
  recordPlacement(key: string, placement: StreamPlacement): Promise<boolean>;
  /// Records that the attempt has ended, unless a larger one took over.
  finish(key: string, attempt: number): Promise<void>;
}

export interface StreamLedgerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly router: LedgerRouter;
}

const CLAIM_ID_BYTES = 12;

function unexpected({ kind }: LedgerReply): LedgerUnavailableError {
  return new LedgerUnavailableError(`the ledger answered "${kind}"`);
}

/// Keeps the records in the shards of the ledger. Every method throws
/// `LedgerUnavailableError` when the ledger can't confirm the change.
export function createStreamLedger(options: StreamLedgerOptions): StreamLedger {
  const { clock, random, router: home } = options;

  const submit = (operation: LedgerOperation) =>
    withTimeout(home.submit(operation), {
      clock,
      limit: LEDGER_CONFIRM_TIMEOUT_MILLISECONDS,
      onTimeout: () => new LedgerUnavailableError("no confirmation in time"),
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
          throw unexpected(reply);
      }
    },
    async recordPlacement(key, placement) {
      const operation = { kind: "placeStream", key, placement } as const;
      const reply = await submit(operation);
      if (reply.kind === "done") return true;
      if (reply.kind === "superseded") return false;
      throw unexpected(reply);
    },
    async finish(key, attempt) {
      await submit({ kind: "finishStream", key, attempt });
    },
  };
}
