import type { Milliseconds } from "../support/clock.ts";

/// Checks whether a link works in both directions. Each heartbeat contains the
/// largest sequence received from the peer, so that an end detects that its own
/// frames are lost while it still receives the peer's.

/// Time without received frames, or without acknowledged heartbeats, after which
/// a link has failed.
export const LINK_IDLE_TIMEOUT_MILLISECONDS = 3_200;

export interface HeartbeatState {
  readonly sequence: number;
  /// Largest sequence received from the peer.
  readonly heard: number;
}

export interface HeartbeatMonitor {
  /// Returns the next heartbeat, which the caller sends at `now`.
  nextHeartbeat(now: Milliseconds): HeartbeatState;
  /// Records that a frame of any kind was received.
  recordFrame(now: Milliseconds): void;
  recordHeartbeat(state: HeartbeatState): void;
  /// Whether either direction has exceeded the idle timeout.
  hasTimedOut(now: Milliseconds): boolean;
}

export function createHeartbeatMonitor(start: Milliseconds): HeartbeatMonitor {
  let lastFrameAt = start;
  let lastSentSequence = 0;
  let lastReceivedSequence = 0;
  /// Heartbeats that the peer has not acknowledged, oldest first.
  let unacknowledged: { sequence: number; sentAt: Milliseconds }[] = [];
  return {
    nextHeartbeat(now) {
      const sequence = ++lastSentSequence;
      unacknowledged.push({ sequence, sentAt: now });
      return { sequence, heard: lastReceivedSequence };
    },
    recordFrame: (now) => void (lastFrameAt = now),
    recordHeartbeat(state) {
      lastReceivedSequence = Math.max(lastReceivedSequence, state.sequence);
      unacknowledged = unacknowledged.filter(({ sequence }) =>
        sequence > state.heard
      );
    },
    hasTimedOut(now) {
      const oldestSentAt = unacknowledged[0]?.sentAt ?? now;
      const idleSince = Math.min(lastFrameAt, oldestSentAt);
      return now - idleSince > LINK_IDLE_TIMEOUT_MILLISECONDS;
    },
  };
}
