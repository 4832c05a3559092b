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
  place(key: string, placement: StreamPlacement): Promise<boolean>;
  /// Records that the attempt has ended, unless a larger one took over.
  finish(key: string, attempt: number): Promise<void>;
}

interface StreamRecord {
  readonly fingerprint: string;
  readonly attempt: number;
  readonly running: boolean;
  readonly placement: StreamPlacement | undefined;
}

/// A ledger in this VM's memory, which no other VM sees.
export function createLocalStreamLedger(): StreamLedger {
  const records = new Map<string, StreamRecord>();
  return {
    claim({ key, fingerprint }) {
      const found = records.get(key);
      if (found && found.fingerprint !== fingerprint) {
        return Promise.resolve({ kind: "differentRequest" });
      }
      const attempt = (found?.attempt ?? 0) + 1;
      const placement = found?.placement;
      records.set(key, { fingerprint, attempt, running: true, placement });
      return Promise.resolve(
        found?.running
          ? { kind: "takenOver", attempt, placement }
          : { kind: "started", attempt },
      );
    },
    place(key, placement) {
      const found = records.get(key);
      if (found?.attempt !== placement.attempt) return Promise.resolve(false);
      records.set(key, { ...found, placement });
      return Promise.resolve(true);
    },
    finish(key, attempt) {
      const found = records.get(key);
      if (found?.attempt === attempt) {
        records.set(key, { ...found, running: false, placement: undefined });
      }
      return Promise.resolve();
    },
  };
}
