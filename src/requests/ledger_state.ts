import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { Milliseconds } from "../support/clock.ts";

/// The contents of one ledger shard: claims of one-time actions, placements of
/// long streams, and the age below which nothing can be proven.

const ShortText = Type.String({ maxLength: 256 });

/// Longest start of a body that an outcome keeps, in bytes.
export const RECORDED_BODY_BYTES = 1_536;
const RECORDED_BODY_CHARACTERS = Math.ceil(RECORDED_BODY_BYTES / 3) * 4;

export const RecordedOutcome = Type.Object({
  status: Type.Integer(),
  contentType: ShortText,
  /// Start of the body in base 64.
  body: Type.String({ maxLength: RECORDED_BODY_CHARACTERS }),
});
export type RecordedOutcome = Static<typeof RecordedOutcome>;

/// The one try that may send a request.
export const ClaimHolder = Type.Object({
  claimId: ShortText,
  vm: ShortText,
  incarnation: ShortText,
});
export type ClaimHolder = Static<typeof ClaimHolder>;

export const ActionRecord = Type.Object({
  holder: ClaimHolder,
  fingerprint: ShortText,
  /// Time in the key.
  keyTime: Type.Number(),
  /// The holder gave the claim back without having sent anything.
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
  /// Names the claim that made the attempt.
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
  /// Keys from before this time may have had a record that was dropped.
  readonly prunedBefore: Milliseconds;
  readonly actions: Map<string, ActionRecord>;
  readonly streams: Map<string, StreamRecord>;
}

export interface RetentionLimits {
  /// Records older than this are dropped.
  readonly retention: Milliseconds;
  /// Records younger than this are never dropped.
  readonly minimumRetention: Milliseconds;
  /// Size above which old records are dropped early.
  readonly targetBytes: number;
  /// Size that no claim may exceed.
  readonly maximumBytes: number;
}

/// The value was not written by this program.
export class LedgerUnreadableError extends Error {
  override readonly name = "LedgerUnreadableError";
}

/// Field names, quotes and numbers of a record and of an outcome.
const RECORD_BYTES = 160;
const OUTCOME_BYTES = 80;
const STREAM_BYTES = 1_200;
const MAXIMUM_OUTCOME_BYTES = OUTCOME_BYTES + RECORDED_BODY_CHARACTERS + 512;

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
    if (!Value.Check(StoredState, stored)) throw new Error("wrong shape");
    return {
      prunedBefore: stored.prunedBefore,
      actions: new Map(Object.entries(stored.actions)),
      streams: new Map(Object.entries(stored.streams)),
    };
  } catch (error) {
    throw new LedgerUnreadableError("unreadable shard", { cause: error });
  }
}

/// Bytes that a record of this key may come to.
function boundOf(key: string, record: ActionRecord): number {
  const { holder, fingerprint, outcome } = record;
  const { claimId, vm, incarnation } = holder;
  const texts = [key, fingerprint, claimId, vm, incarnation];
  const base = texts.reduce((sum, text) => sum + text.length, RECORD_BYTES);
  if (!outcome) return base + MAXIMUM_OUTCOME_BYTES;
  const { contentType, body } = outcome;
  const typeBytes = Buffer.byteLength(JSON.stringify(contentType));
  return base + OUTCOME_BYTES + typeBytes + body.length;
}

/// An upper bound of the encoded size once every outcome is recorded.
export function boundSize({ actions, streams }: LedgerState): number {
  let total = 0;
  for (const [key, record] of actions) total += boundOf(key, record);
  for (const key of streams.keys()) total += key.length + STREAM_BYTES;
  return total;
}

/// Whether one more record of the largest size keeps the state under its
/// limit.
export function hasRoom(state: LedgerState, limits: RetentionLimits): boolean {
  const largest = MAXIMUM_OUTCOME_BYTES + STREAM_BYTES;
  return boundSize(state) + largest <= limits.maximumBytes;
}

/// Time that records are judged by: never ahead of the newest key, so that one
/// VM whose clock is wrong can't drop what is still young.
function timeOf(state: LedgerState, wallTime: Milliseconds): Milliseconds {
  let newest = state.prunedBefore;
  for (const { keyTime } of state.actions.values()) {
    newest = Math.max(newest, keyTime);
  }
  return Math.min(wallTime, newest);
}

/// Age limit that brings the size under the target, no younger than allowed.
function limitBySize(state: LedgerState, limits: RetentionLimits) {
  let excess = boundSize(state) - limits.targetBytes;
  let limit = -Infinity;
  if (excess <= 0) return limit;
  const oldestFirst = [...state.actions].sort(([, left], [, right]) =>
    left.keyTime - right.keyTime
  );
  for (const [key, record] of oldestFirst) {
    if (excess <= 0) break;
    excess -= boundOf(key, record);
    limit = record.keyTime + 1;
  }
  return limit;
}

/// Drops old records and moves `prunedBefore` past them.
export function pruneState(
  state: LedgerState,
  limits: RetentionLimits,
  wallTime: Milliseconds,
): LedgerState {
  const time = timeOf(state, wallTime);
  const bySize = limitBySize(state, limits);
  const youngest = time - limits.minimumRetention;
  const wanted = Math.max(time - limits.retention, Math.min(bySize, youngest));
  const prunedBefore = Math.max(state.prunedBefore, wanted);
  const actions = [...state.actions].filter(([, record]) =>
    record.keyTime >= prunedBefore
  );
  const streams = [...state.streams].filter(([, record]) =>
    record.claimedAt >= wallTime - limits.retention
  );
  return { prunedBefore, actions: new Map(actions), streams: new Map(streams) };
}
