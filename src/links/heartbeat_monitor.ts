import type { Milliseconds } from "../support/clock.ts";

/// Tells whether a link works both ways. Each heartbeat carries the largest
/// sequence heard from the other side, so that a side whose own frames are
/// lost learns of it though it still hears the other.

/// Time for which a direction may be silent.
export const SILENCE_LIMIT_MILLISECONDS = 3_200;

export interface HeartbeatState {
  readonly sequence: number;
  readonly heard: number;
}

export interface HeartbeatMonitor {
  /// The next heartbeat to send.
  next(now: Milliseconds): HeartbeatState;
  /// Notes that any frame came in.
  noteFrame(now: Milliseconds): void;
  noteHeartbeat(state: HeartbeatState): void;
  /// Whether either direction has been silent for too long.
  isSilent(now: Milliseconds): boolean;
}

export function createHeartbeatMonitor(start: Milliseconds): HeartbeatMonitor {
  let lastFrame = start;
  let sent = 0;
  let heard = 0;
  /// When each heartbeat that the other side has not acknowledged was sent.
  let unacknowledged: { sequence: number; sentAt: Milliseconds }[] = [];
  return {
    next(now) {
      const sequence = ++sent;
      unacknowledged.push({ sequence, sentAt: now });
      return { sequence, heard };
    },
    noteFrame: (now) => void (lastFrame = now),
    noteHeartbeat(state) {
      heard = Math.max(heard, state.sequence);
      unacknowledged = unacknowledged.filter(({ sequence }) =>
        sequence > state.heard
      );
    },
    isSilent(now) {
      const oldest = unacknowledged[0]?.sentAt ?? now;
      const silentSince = Math.min(lastFrame, oldest);
      return now - silentSince > SILENCE_LIMIT_MILLISECONDS;
    },
  };
}
