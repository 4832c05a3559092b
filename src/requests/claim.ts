import type { IdempotencyKey } from "./idempotency_key.ts";
import type { RecordedOutcome } from "./ledger_state.ts";

/// One try to run a one-time action.
export interface Claim {
  /// Customer and key.
  readonly key: string;
  readonly parsedKey: IdempotencyKey;
  /// Names the one try that may send the request.
  readonly claimId: string;
  /// Digest of the request, so that a key can't be used for another one.
  readonly fingerprint: string;
}

/// What the ledger says of a key.
export type ClaimResult =
  | { readonly kind: "claimed" }
  | { readonly kind: "recorded"; readonly outcome: RecordedOutcome }
  /// It may have run, and nobody can tell.
  | { readonly kind: "unknown" }
  /// The ledger has no room for another key now.
  | { readonly kind: "full" }
  | { readonly kind: "differentRequest" };
