/// Frames that wait for a slow connection, bounded in number and in bytes.

/// Frames that may wait.
const FRAME_LIMIT = 4_096;
/// Bytes that may wait.
const BYTE_LIMIT = 16_777_216;

export interface SendQueue {
  /// Adds a frame. One with the same key that still waits is replaced; past a
  /// bound the oldest is dropped.
  push(bytes: Buffer, replaceKey?: string): void;
  /// Takes the oldest frame.
  shift(): Buffer | undefined;
  /// Frames dropped so far.
  dropped(): number;
}

export function createSendQueue(): SendQueue {
  const waiting = new Map<string, Buffer>();
  let order = 0;
  let bytesWaiting = 0;
  let dropped = 0;

  const remove = (key: string) => {
    const bytes = waiting.get(key);
    waiting.delete(key);
    bytesWaiting -= bytes?.length ?? 0;
    return bytes;
  };

  const removeOldest = () => {
    const key = waiting.keys().next().value;
    return key === undefined ? undefined : remove(key);
  };

  return {
    push(bytes, replaceKey) {
      const key = replaceKey === undefined ? `#${order++}` : `=${replaceKey}`;
      remove(key);
      waiting.set(key, bytes);
      bytesWaiting += bytes.length;
      while (waiting.size > FRAME_LIMIT || bytesWaiting > BYTE_LIMIT) {
        removeOldest();
        dropped++;
      }
    },
    shift: removeOldest,
    dropped: () => dropped,
  };
}
