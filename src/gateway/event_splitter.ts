/// Splits a stream of server-sent events into complete events, so that a broken
/// stream can be resumed after the last complete one.

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/// Size beyond which an event is forwarded in pieces.
const MAXIMUM_EVENT_BYTES = 1_048_576;

export interface EventSplitter {
  /// Appends bytes and returns the buffered ones up to the last event boundary;
  /// undefined if there is none.
  push(chunk: Buffer): Buffer | undefined;
  /// Bytes after the last complete event.
  remainder(): Buffer;
  /// Id of the last complete event that has one; undefined if none has.
  lastId(): string | undefined;
  /// Number of complete events so far.
  count(): number;
}

/// Index after the last blank line in `bytes`, or 0.
function lastBoundary(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) continue;
    const before = bytes[index - 1];
    if (before === LINE_FEED) return index + 1;
    if (before === CARRIAGE_RETURN && bytes[index - 2] === LINE_FEED) {
      return index + 1;
    }
  }
  return 0;
}

export function createEventSplitter(): EventSplitter {
  let buffered: Buffer = Buffer.alloc(0);
  let id: string | undefined;
  let events = 0;

  const readIds = (complete: Buffer) => {
    const text = complete.toString("latin1");
    for (const event of text.split(/\r?\n\r?\n/)) {
      if (event === "") continue;
      events += 1;
      const match = /^id: ?(.*?)\r?$/m.exec(event);
      if (match) id = match[1];
    }
  };

  return {
    push(chunk) {
      const bytes = buffered.length === 0
        ? chunk
        : Buffer.concat([buffered, chunk]);
      let end = lastBoundary(bytes);
      if (end === 0 && bytes.length > MAXIMUM_EVENT_BYTES) end = bytes.length;
      buffered = bytes.subarray(end);
      if (end === 0) return undefined;
      const complete = bytes.subarray(0, end);
      readIds(complete);
      return complete;
    },
    remainder: () => buffered,
    lastId: () => id,
    count: () => events,
  };
}
