/// Frames waiting to be sent over a slow connection, limited in number and in
/// bytes.

const MAXIMUM_QUEUED_FRAMES = 4_096;
const MAXIMUM_QUEUED_BYTES = 16_777_216;

export interface SendQueue {
  /// Adds a frame. A queued frame with the same key is removed. Above a limit, the
  /// oldest frames are dropped.
  push(bytes: Buffer, replaceKey?: string): void;
  /// Removes and returns the oldest frame.
  shift(): Buffer | undefined;
  /// Returns the number of frames dropped above a limit so far.
  dropped(): number;
}

export function createSendQueue(): SendQueue {
  const queued = new Map<string, Buffer>();
  let nextIndex = 0;
  let queuedBytes = 0;
  let dropped = 0;

  const remove = (key: string) => {
    const bytes = queued.get(key);
    queued.delete(key);
    queuedBytes -= bytes?.length ?? 0;
    return bytes;
  };

  const removeOldest = () => {
    const key = queued.keys().next().value;
    return key === undefined ? undefined : remove(key);
  };

  return {
    push(bytes, replaceKey) {
      const key = replaceKey === undefined
        ? `#${nextIndex++}`
        : `=${replaceKey}`;
      remove(key);
      queued.set(key, bytes);
      queuedBytes += bytes.length;
      while (
        queued.size > MAXIMUM_QUEUED_FRAMES ||
        queuedBytes > MAXIMUM_QUEUED_BYTES
      ) {
        removeOldest();
        dropped++;
      }
    },
    shift: removeOldest,
    dropped: () => dropped,
  };
}
