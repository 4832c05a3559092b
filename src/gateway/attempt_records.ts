import { findCrashRefusal } from "../requests/crash_attribution.ts";
import { abbreviateFingerprint } from "../requests/crash_records.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { AttemptConnection, AttemptResult } from "./attempt_result.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { Placement } from "./request_placer.ts";
import type { RequestProgress } from "./request_progress.ts";

/// Records what the attempts of a request show of their upstreams: their health,
/// crashes, and the log.

/// The result of an attempt at an upstream, or what its silence shows so far.
export interface AttemptRecord {
  readonly placement: Placement;
  readonly result: AttemptResult;
  readonly connection: AttemptConnection;
  /// Time since the attempt was started.
  readonly took: Milliseconds;
}

export interface AttemptRecords {
  /// Records an attempt that has ended.
  ended(record: AttemptRecord): void;
  /// Records an attempt whose upstream has sent nothing for longer than
  /// expected. `result` is what a failure at this moment would show.
  silent(record: AttemptRecord): void;
}

export interface AttemptRecordsOptions {
  readonly progress: RequestProgress;
  readonly remaining: () => Milliseconds;
}

export function createAttemptRecords(
  context: RequestContext,
  request: GatewayRequest,
  { progress, remaining }: AttemptRecordsOptions,
): AttemptRecords {
  const { health, inFlightWork, log, view } = context;
  const { metadata, route } = request;
  /// Attempts whose failure the health of their upstreams includes.
  const countedFailures = new Set<Placement>();

  /// A silence is recorded several times, but shows one failed request. Only a
  /// check that doesn't reach the upstream shows something new.
  const isCounted = ({ placement, result }: AttemptRecord) => {
    if (result.kind !== "failed" || result.isUnreachable) return false;
    const isKnown = countedFailures.has(placement);
    countedFailures.add(placement);
    return isKnown;
  };

  const recordHealth = (record: AttemptRecord) => {
    if (isCounted(record)) return;
    const { result } = record;
    const { upstream } = record.placement;
    const hadNoPath = result.kind === "not_run" && result.hadNoPath === true;
    const isPathLost = hadNoPath ||
      (result.kind === "failed" && result.isPathLost);
    if (result.kind !== "aborted" && !isPathLost) {
      const hasFailed = result.kind !== "streamed" &&
        (result.kind !== "answered" || result.status >= 500);
      inFlightWork.recordResult(upstream.id, hasFailed);
    }
    switch (result.kind) {
      case "streamed":
        return health.recordSuccess(upstream.id);
      case "aborted":
        return;
      case "answered":
        return result.status < 500
          ? health.recordSuccess(upstream.id)
          : health.recordFailure(upstream.id);
    }
    if (hadNoPath) health.recordNoPath(upstream.id);
    if (isPathLost) return;
    if (result.isUnreachable) health.recordUnreachable(upstream.id);
    else if (result.kind === "failed" && !result.mayBeStale) {
      health.recordBroken(upstream.id);
    } else health.recordFailure(upstream.id);
  };

  const recordCrash = ({ placement, result, took }: AttemptRecord) => {
    if (result.kind !== "failed" || !result.hasCrashed) return;
    const { upstream } = placement;
    const { crashRecords, storedCrashes } = context;
    const { fingerprint } = request;
    const parts = metadata.sharedParts;
    void crashRecords.record({
      fingerprint,
      parts,
      process: `${upstream.id} ${upstream.startedAt}`,
      ran: took,
      isRetry: progress.hasCrashedUpstream,
    });
    progress.hasCrashedUpstream = true;
    const refusal = findCrashRefusal(crashRecords, { fingerprint, parts });
    if (refusal) storedCrashes.save(refusal.key);
  };

  const fieldsOf = (
    { placement, result, connection, took }: AttemptRecord,
  ) => ({
    request: metadata.attemptId,
    fingerprint: abbreviateFingerprint(request.fingerprint),
    promptParts: metadata.sharedParts.join() || undefined,
    route: route.name,
    upstream: placement.upstream.id,
    address: placement.upstream.address,
    ...connection,
    try: progress.attempts,
    result: result.kind,
    status: result.kind === "answered" ? result.status : undefined,
    reason: "reason" in result ? result.reason : undefined,
    faultAddress: result.kind === "not_run" ? result.faultAddress : undefined,
    took: Math.round(took),
    remaining: Math.round(remaining()),
    eventsUpTo: progress.lastId,
    viewRevision: view.revision(),
  });

  return {
    ended(record) {
      const { result } = record;
      recordHealth(record);
      if (result.kind === "streamed" || result.kind === "aborted") return;
      if (result.kind === "answered" && result.status < 300) return;
      recordCrash(record);
      log.warn("try ended", fieldsOf(record));
    },
    silent(record) {
      recordHealth(record);
      log.warn("try silent", fieldsOf(record));
    },
  };
}
