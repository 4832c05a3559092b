/// Cuts a stream of server-sent events into whole events, so that a stream
/// which breaks can be continued behind the last whole one.

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/// Bytes that one event may have before it is passed on in pieces.
const LARGEST_EVENT_BYTES = 1_048_576;

export interface EventSplitter {
  /// Takes bytes and returns those that end on the boundary of an event.
  push(chunk: Buffer): Buffer | undefined;
  /// Bytes behind the last whole event.
  remainder(): Buffer;
  /// Id of the last whole event; undefined if none had one.
  lastId(): string | undefined;
  /// Whole events so far.
  count(): number;
}

/// Index behind the last blank line in `bytes`, or 0.
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
  let held: Buffer = Buffer.alloc(0);
  let id: string | undefined;
  let events = 0;

  const readIds = (whole: Buffer) => {
    const text = whole.toString("latin1");
    for (const event of text.split(/\r?\n\r?\n/)) {
      if (event === "") continue;
      events += 1;
      const match = /^id: ?(.*?)\r?$/m.exec(event);
      if (match) id = match[1];
    }
  };

  return {
    push(chunk) {
      const bytes = held.length === 0 ? chunk : Buffer.concat([held, chunk]);
      let end = lastBoundary(bytes);
      if (end === 0 && bytes.length > LARGEST_EVENT_BYTES) end = bytes.length;
      held = bytes.subarray(end);
      if (end === 0) return undefined;
      const whole = bytes.subarray(0, end);
      readIds(whole);
      return whole;
    },
    remainder: () => held,
    lastId: () => id,
    count: () => events,
  };
}
