import { createHash } from "node:crypto";
import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import {
  type KeyValueStore,
  StoreOutcomeUnknownError,
} from "../platform/key_value_store.ts";

/// The record of one-time actions in the key-value service. A key is claimed
/// before its request is sent and is never claimed twice.

const SHARD_PREFIX = "sequoiaturn/ledger/";
const SHARDS = 64;
/// Conflicting writes that one claim tries again after.
const MAXIMUM_CONFLICTS = 32;

export const RecordedOutcome = Type.Object({
  status: Type.Integer(),
  contentType: Type.String(),
  /// Start of the body in base 64.
  body: Type.String(),
});
export type RecordedOutcome = Static<typeof RecordedOutcome>;

const LedgerRecord = Type.Object({
  /// Names the one try that may send the request.
  claimId: Type.String(),
  fingerprint: Type.String(),
  outcome: Type.Optional(RecordedOutcome),
});
type LedgerRecord = Static<typeof LedgerRecord>;

const LedgerShard = Type.Object({
  records: Type.Record(Type.String(), LedgerRecord),
});
type LedgerShard = Static<typeof LedgerShard>;

/// What the ledger says of a key.
export type ClaimResult =
  | { readonly kind: "claimed" }
  | { readonly kind: "recorded"; readonly outcome: RecordedOutcome }
  | { readonly kind: "claimedByOther" }
  | { readonly kind: "differentRequest" };

export interface Claim {
  readonly key: string;
  readonly claimId: string;
  /// Digest of the request, so that a key can't be used for another one.
  readonly fingerprint: string;
}

export interface Ledger {
  /// Claims the key, unless it has been. Throws the store's errors; then
  /// nothing may be sent.
  claim(claim: Claim): Promise<ClaimResult>;
  /// Records how the claimed request ended.
  record(claim: Claim, outcome: RecordedOutcome): Promise<void>;
  /// Takes back a claim of which nothing was sent.
  withdraw(claim: Claim): Promise<void>;
}

function shardOf(key: string): string {
  const digest = createHash("sha256").update(key).digest();
  return SHARD_PREFIX + (digest[0]! % SHARDS);
}

type Change = (records: LedgerShard["records"]) => boolean;

/// Creates a ledger in `store`.
export function createLedger(store: KeyValueStore): Ledger {
  const readShard = async (shardKey: string) => {
    const stored = await store.get(shardKey);
    const shard: LedgerShard = stored
      ? Value.Parse(
        LedgerShard,
        JSON.parse(Buffer.from(stored.value).toString()),
      )
      : { records: {} };
    return { shard, revision: stored?.modifiedRevision ?? 0 };
  };

  /// Applies `change` and writes the shard until no other write comes
  /// between. `change` returns false when there is nothing to write.
  const changeShard = async (key: string, change: Change) => {
    const shardKey = shardOf(key);
    for (let tries = 0; tries < MAXIMUM_CONFLICTS; tries++) {
      const { shard, revision } = await readShard(shardKey);
      if (!change(shard.records)) return;
      const value = Buffer.from(JSON.stringify(shard));
      const guard = { key: shardKey, modifiedRevision: revision };
      const put = { kind: "put", key: shardKey, value } as const;
      try {
        const result = await store.transact([guard], [put]);
        if (result.succeeded) return;
      } catch (error) {
        if (!(error instanceof StoreOutcomeUnknownError)) throw error;
      }
    }
    throw new StoreOutcomeUnknownError("too many conflicting writes");
  };

  return {
    async claim({ key, claimId, fingerprint }) {
      let result: ClaimResult = { kind: "claimed" };
      await changeShard(key, (records) => {
        const found = records[key];
        if (!found) {
          records[key] = { claimId, fingerprint };
          return true;
        }
        result = judge(found, { key, claimId, fingerprint });
        return false;
      });
      return result;
    },
    async record({ key, claimId }, outcome) {
      await changeShard(key, (records) => {
        const found = records[key];
        if (found?.claimId !== claimId || found.outcome) return false;
        records[key] = { ...found, outcome };
        return true;
      });
    },
    async withdraw({ key, claimId }) {
      await changeShard(key, (records) => {
        if (records[key]?.claimId !== claimId) return false;
        delete records[key];
        return true;
      });
    },
  };
}

function judge(found: LedgerRecord, claim: Claim): ClaimResult {
  if (found.fingerprint !== claim.fingerprint) {
    return { kind: "differentRequest" };
  }
  if (found.outcome) return { kind: "recorded", outcome: found.outcome };
  if (found.claimId === claim.claimId) return { kind: "claimed" };
  return { kind: "claimedByOther" };
}
