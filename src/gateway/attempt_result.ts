import type { Reachability } from "../tunnels/upstream_dialler.ts";
import type { HeaderFields } from "./exchange.ts";

/// How an attempt ended.
export type AttemptResult =
  /// The upstream sent a complete response of its own.
  | {
    readonly kind: "answered";
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Buffer;
  }
  /// Every event was forwarded.
  | { readonly kind: "streamed" }
  /// The request has certainly not been executed.
  | {
    readonly kind: "not_run";
    readonly reason: string;
    readonly isUnreachable: boolean;
    /// Whether this VM has no path to it, and other VMs may have one.
    readonly hadNoPath?: boolean;
    /// Address of another engine that caused the failure.
    readonly faultAddress?: string;
  }
  /// The request may have been executed.
  | {
    readonly kind: "failed";
    readonly reason: string;
    /// Whether the upstream accepts no connections any more.
    readonly isUnreachable: boolean;
    /// Whether that is because its process has ended.
    readonly hasCrashed: boolean;
    /// Whether the connection was lost, but not the upstream.
    readonly isPathLost: boolean;
    /// Whether the upstream may have closed the reused connection before the
    /// request arrived, which doesn't indicate poor health.
    readonly mayBeStale?: boolean;
  }
  /// The gateway aborted the attempt. A request that wasn't sent never will be.
  | { readonly kind: "aborted"; readonly wasSent: boolean };

/// The connection of an attempt.
export interface AttemptConnection {
  /// Whether it has carried another request before.
  readonly isReused: boolean;
  /// Name of the VM through which it goes, if it is a tunnel.
  readonly tunnelVm: string | undefined;
  /// Whether the upstream may have received the request.
  readonly wasSent: boolean;
}

/// Whether the upstream accepts connections, of this VM or of another one.
export function acceptsConnections(reachability: Reachability): boolean {
  return reachability === "accepts" || reachability === "through_others";
}

/// What is known of a failed attempt.
export interface FailedAttempt {
  readonly wasSent: boolean;
  readonly isTunnel: boolean;
  /// What a check of the upstream found after the connection was lost; undefined
  /// for faults of the response itself.
  readonly reachability?: Reachability;
  readonly mayBeStale?: boolean;
}

/// Returns the result of a failed attempt. A lost connection says something of
/// the upstream only if it is the VM's own and no other VM reaches the upstream.
export function failedResult(
  reason: string,
  { wasSent, isTunnel, reachability, mayBeStale }: FailedAttempt,
): AttemptResult {
  const isReached = reachability === undefined ||
    acceptsConnections(reachability);
  const isUnknown = reachability === "unknown";
  if (!wasSent) {
    const hadNoPath = isReached || isUnknown;
    return { kind: "not_run", reason, isUnreachable: true, hadNoPath };
  }
  return {
    kind: "failed",
    reason,
    isUnreachable: !isReached,
    hasCrashed: reachability === "refuses",
    isPathLost: reachability === "through_others" || isUnknown ||
      (reachability === "accepts" && isTunnel),
    mayBeStale,
  };
}
