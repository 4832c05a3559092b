import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { Milliseconds } from "../support/clock.ts";

/// The contents of one ledger shard: claims of requests that must run at most
/// once, placements of long streams, and the time before which records may have
/// been dropped.

const ShortText = Type.String({ maxLength: 256 });

/// Maximum number of leading bytes of a body that an outcome keeps.
export const RECORDED_BODY_BYTES = 1_536;
const RECORDED_BODY_CHARACTERS = Math.ceil(RECORDED_BODY_BYTES / 3) * 4;

export const RecordedOutcome = Type.Object({
  status: Type.Integer(),
  contentType: ShortText,
  /// Start of the body in base64.
  body: Type.String({ maxLength: RECORDED_BODY_CHARACTERS }),
});
export type RecordedOutcome = Static<typeof RecordedOutcome>;

/// The only claim that may send a request.
export const ClaimHolder = Type.Object({
  claimId: ShortText,
  vm: ShortText,
  incarnation: ShortText,
});
export type ClaimHolder = Static<typeof ClaimHolder>;

export const ActionRecord = Type.Object({
  holder: ClaimHolder,
  fingerprint: ShortText,
  /// Time that the key contains.
  keyTime: Type.Number(),
  /// Whether the holder released the claim without having sent the request.
  released: Type.Optional(Type.Boolean()),
  outcome: Type.Optional(RecordedOutcome),
});
export type ActionRecord = Static<typeof ActionRecord>;

export const RecordedPlacement = Type.Object({
  engine: ShortText,
  streamId: ShortText,
  attempt: Type.Integer(),
});

export const StreamRecord = Type.Object({
  fingerprint: ShortText,
  /// Identifies the claim that started the attempt.
  claimId: ShortText,
  attempt: Type.Integer(),
  running: Type.Boolean(),
  /// Whether the attempt took over from a running one.
  takenOver: Type.Boolean(),
  placement: Type.Optional(RecordedPlacement),
  claimedAt: Type.Number(),
});
export type StreamRecord = Static<typeof StreamRecord>;

const StoredState = Type.Object({
  prunedBefore: Type.Number(),
  actions: Type.Record(Type.String(), ActionRecord),
  streams: Type.Record(Type.String(), StreamRecord),
});

export interface LedgerState {
  /// Records of keys from before this time may have been dropped.
  readonly prunedBefore: Milliseconds;
  readonly actions: Map<string, ActionRecord>;
  readonly streams: Map<string, StreamRecord>;
}

export interface RetentionLimits {
  /// Records older than this are dropped.
  readonly retentionMilliseconds: Milliseconds;
  /// Records younger than this are never dropped.
  readonly minimumRetentionMilliseconds: Milliseconds;
  /// Size above which old records are dropped early.
  readonly targetBytes: number;
  /// Size above which no new claim is accepted.
  readonly maximumBytes: number;
}

/// The stored value does not have the format of a ledger shard.
export class LedgerUnreadableError extends Error {
  override readonly name = "LedgerUnreadableError";
}

/// Upper bounds of the field names, quotes and numbers in a record and in an
/// outcome.
const RECORD_OVERHEAD_BYTES = 160;
const OUTCOME_OVERHEAD_BYTES = 80;
const MAXIMUM_STREAM_BYTES = 1_200;
const MAXIMUM_OUTCOME_BYTES = OUTCOME_OVERHEAD_BYTES +
  RECORDED_BODY_CHARACTERS + 512;

export function emptyState(prunedBefore: Milliseconds): LedgerState {
  return { prunedBefore, actions: new Map(), streams: new Map() };
}

export function copyState(state: LedgerState): LedgerState {
  const { prunedBefore, actions, streams } = state;
  const copy = { actions: new Map(actions), streams: new Map(streams) };
  return { prunedBefore, ...copy };
}

export function encodeState(state: LedgerState): Buffer {
  const { prunedBefore, actions, streams } = state;
  return Buffer.from(JSON.stringify({
    prunedBefore,
    actions: Object.fromEntries(actions),
    streams: Object.fromEntries(streams),
  }));
}

/// Throws `LedgerUnreadableError`.
export function decodeState(bytes: Uint8Array): LedgerState {
  try {
    const stored: unknown = JSON.parse(Buffer.from(bytes).toString());
    if (!Value.Check(StoredState, stored)) throw new Error("schema mismatch");
    return {
      prunedBefore: stored.prunedBefore,
      actions: new Map(Object.entries(stored.actions)),
      streams: new Map(Object.entries(stored.streams)),
    };
  } catch (error) {
    throw new LedgerUnreadableError("ledger shard is malformed", {
      cause: error,
    });
  }
}

/// Upper bound of the encoded size of a record once its outcome is recorded.
function maximumRecordBytes(key: string, record: ActionRecord): number {
  const { holder, fingerprint, outcome } = record;
  const { claimId, vm, incarnation } = holder;
  const texts = [key, fingerprint, claimId, vm, incarnation];
  const base = texts.reduce(
    (sum, text) => sum + text.length,
    RECORD_OVERHEAD_BYTES,
  );
  if (!outcome) return base + MAXIMUM_OUTCOME_BYTES;
  const { contentType, body } = outcome;
  const contentTypeBytes = Buffer.byteLength(JSON.stringify(contentType));
  return base + OUTCOME_OVERHEAD_BYTES + contentTypeBytes + body.length;
}

/// Upper bound of the encoded size once every outcome is recorded.
export function maximumStateBytes({ actions, streams }: LedgerState): number {
  let total = 0;
  for (const [key, record] of actions) total += maximumRecordBytes(key, record);
  for (const key of streams.keys()) total += key.length + MAXIMUM_STREAM_BYTES;
  return total;
}

/// Whether the state stays within its limit with one more record of the maximum
/// size.
export function hasCapacity(
  state: LedgerState,
  limits: RetentionLimits,
): boolean {
  const largest = MAXIMUM_OUTCOME_BYTES + MAXIMUM_STREAM_BYTES;
  return maximumStateBytes(state) + largest <= limits.maximumBytes;
}

/// Time from which the ages of records are calculated. It is never later than
/// the newest key, so that a VM whose clock is ahead can't drop recent records.
function pruningTime(state: LedgerState, wallTime: Milliseconds): Milliseconds {
  let newest = state.prunedBefore;
  for (const { keyTime } of state.actions.values()) {
    newest = Math.max(newest, keyTime);
  }
  return Math.min(wallTime, newest);
}

/// Key time before which records must be dropped to bring the size under the
/// target. The caller limits it so that the minimum retention is kept.
function cutoffBySize(state: LedgerState, limits: RetentionLimits) {
  let excess = maximumStateBytes(state) - limits.targetBytes;
  let cutoff = -Infinity;
  if (excess <= 0) return cutoff;
  const oldestFirst = [...state.actions].sort(([, left], [, right]) =>
    left.keyTime - right.keyTime
  );
  for (const [key, record] of oldestFirst) {
    if (excess <= 0) break;
    excess -= maximumRecordBytes(key, record);
    cutoff = record.keyTime + 1;
  }
  return cutoff;
}

/// Drops old records and advances `prunedBefore` past them.
export function pruneState(
  state: LedgerState,
  limits: RetentionLimits,
  wallTime: Milliseconds,
): LedgerState {
  const time = pruningTime(state, wallTime);
  const sizeCutoff = cutoffBySize(state, limits);
  const latestCutoff = time - limits.minimumRetentionMilliseconds;
  const cutoff = Math.max(
    time - limits.retentionMilliseconds,
    Math.min(sizeCutoff, latestCutoff),
  );
  const prunedBefore = Math.max(state.prunedBefore, cutoff);
  const actions = [...state.actions].filter(([, record]) =>
    record.keyTime >= prunedBefore
  );
  const streams = [...state.streams].filter(([, record]) =>
    record.claimedAt >= wallTime - limits.retentionMilliseconds
  );
  return { prunedBefore, actions: new Map(actions), streams: new Map(streams) };
}
