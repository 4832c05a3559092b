import type { HeaderFields } from "./exchange.ts";

/// Splits a stream of server-sent events into complete events, so that a broken
/// stream can be resumed after the last complete one.

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/// Limit for one event. Engines send some hundred bytes an event; longer ones
/// are no events.
const MAXIMUM_EVENT_BYTES = 262_144;

/// Whether a response is a stream of events.
export function isEventStream(headers: HeaderFields): boolean {
  return String(headers["content-type"] ?? "").startsWith("text/event-stream");
}

export interface EventSplitter {
  /// Appends bytes and returns the buffered ones up to the last event boundary;
  /// undefined if there is none.
  push(chunk: Buffer): Buffer | undefined;
  /// Bytes after the last complete event.
  remainder(): Buffer;
  /// Whether the bytes after the last complete event are too many for an event.
  isTooLong(): boolean;
  /// Id of the last complete event that has one; undefined if none has.
  lastId(): string | undefined;
  /// Number of complete events so far. Comments and blank lines are no events.
  count(): number;
}

/// Index after the last blank line in `bytes` that ends after `from`, or 0.
function lastBoundary(bytes: Buffer, from: number): number {
  for (let index = bytes.length - 1; index > 0 && index >= from; index--) {
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
  /// The bytes after the last complete event. The buffer has room for more, so
  /// that a stream in small pieces is not copied with each of them.
  let buffer: Buffer = Buffer.alloc(0);
  let size = 0;
  let id: string | undefined;
  let events = 0;

  const append = (chunk: Buffer) => {
    const needed = size + chunk.length;
    if (needed > buffer.length) {
      const grown = Buffer.alloc(2 * needed);
      buffer.copy(grown, 0, 0, size);
      buffer = grown;
    }
    chunk.copy(buffer, size);
    size = needed;
    return buffer.subarray(0, size);
  };

  const keep = (rest: Buffer) => {
    buffer = Buffer.from(rest);
    size = rest.length;
  };

  const readEvents = (complete: Buffer) => {
    const text = complete.toString("latin1");
    for (const event of text.split(/\r?\n\r?\n/)) {
      if (!/^(id|data|event)(:|\r?$)/m.test(event)) continue;
      events += 1;
      const match = /^id: ?(.*?)\r?$/m.exec(event);
      if (match) id = match[1];
    }
  };

  return {
    push(chunk) {
      // A chunk that ends with an event needs no copy.
      const isContinued = size > 0;
      const scanned = size;
      const bytes = isContinued ? append(chunk) : chunk;
      const end = lastBoundary(bytes, scanned);
      if (end === 0) {
        if (!isContinued) append(chunk);
        return undefined;
      }
      const complete = bytes.subarray(0, end);
      keep(bytes.subarray(end));
      readEvents(complete);
      return complete;
    },
    remainder: () => buffer.subarray(0, size),
    isTooLong: () => size > MAXIMUM_EVENT_BYTES,
    lastId: () => id,
    count: () => events,
  };
}
