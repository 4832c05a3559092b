import type { IdempotencyKey } from "./idempotency_key.ts";
import type { RecordedOutcome } from "./ledger_state.ts";

/// A request's claim on an idempotency key. A request that must run at most
/// once is sent only after its claim is confirmed.
export interface Claim {
  /// Customer and idempotency key.
  readonly key: string;
  readonly parsedKey: IdempotencyKey;
  /// Identifies this claim. Only the claim that the ledger confirms may send
  /// the request.
  readonly claimId: string;
  /// Digest of the request, so that a key can't be used for another request.
  readonly fingerprint: string;
}

/// Result of claiming a key.
export type ClaimResult =
  | { readonly kind: "claimed" }
  | { readonly kind: "recorded"; readonly outcome: RecordedOutcome }
  /// The request may have run; its outcome can't be determined.
  | { readonly kind: "unknown" }
  /// The ledger has no capacity for another key now.
  | { readonly kind: "full" }
  | { readonly kind: "differentRequest" };
