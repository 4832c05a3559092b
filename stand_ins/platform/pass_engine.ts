import type { EngineProfile } from "../../src/gateway/configuration.ts";
import { passTime, prefillTime } from "../../src/gateway/engine_cost.ts";
import type { Clock } from "../../src/support/clock.ts";

/// An engine as the platform describes it: it works through everything that
/// waits in passes, reads prompts between the tokens that it writes, and reads
/// parts of others' prompts first.

/// Tokens that an engine reads in one step at most.
const CHUNK_TOKENS = 2_048;

interface Read {
  readonly tokens: number;
  /// Time that the whole read costs.
  readonly time: number;
  left: number;
  readonly done: () => void;
}

interface Writer {
  readonly contextTokens: number;
  left: number;
  readonly event: (isLast: boolean) => void;
}

export interface PassEngine {
  /// Reads a part of a prompt of `wholeTokens`, of which it is `share`.
  read(part: { wholeTokens: number; share: number }, done: () => void): void;
  /// Writes `events` events once there is a slot: the first one at once, since
  /// reading has brought its first token, the others one a pass.
  write(
    stream: { contextTokens: number; events: number },
    event: (isLast: boolean) => void,
  ): void;
}

export function createPassEngine(
  clock: Clock,
  profile: EngineProfile,
): PassEngine {
  const parts: Read[] = [];
  const reads: Read[] = [];
  const writers: Writer[] = [];
  const waiting: Writer[] = [];
  let isRunning = false;

  /// Takes reading from a queue and returns the time that it costs.
  const takeReading = (queue: Read[], budget: { tokens: number }) => {
    let time = 0;
    const finished: Read[] = [];
    while (queue.length > 0 && budget.tokens > 0) {
      const read = queue[0]!;
      const tokens = Math.min(read.left, budget.tokens);
      budget.tokens -= tokens;
      read.left -= tokens;
      time += read.time * tokens / read.tokens;
      if (read.left > 0) break;
      finished.push(queue.shift()!);
    }
    return { time, finished };
  };

  const pass = () => {
    while (writers.length < profile.slots && waiting.length > 0) {
      const writer = waiting.shift()!;
      writer.left -= 1;
      if (writer.left > 0) writers.push(writer);
      writer.event(writer.left === 0);
    }
    if (writers.length + parts.length + reads.length === 0) {
      isRunning = false;
      return;
    }
    const active = [...writers];
    const contextTokens = active.reduce(
      (sum, writer) => sum + writer.contextTokens,
      0,
    );
    const budget = { tokens: CHUNK_TOKENS * profile.stepsPerPass };
    const first = takeReading(parts, budget);
    const second = takeReading(reads, budget);
    const writing = active.length === 0
      ? 0
      : passTime(profile, { decodingRequests: active.length, contextTokens });
    clock.schedule(writing + first.time + second.time, () => {
      for (const writer of active) {
        writer.left -= 1;
        if (writer.left === 0) writers.splice(writers.indexOf(writer), 1);
        writer.event(writer.left === 0);
      }
      for (const { done } of [...first.finished, ...second.finished]) done();
      pass();
    });
  };

  const wake = () => {
    if (isRunning) return;
    isRunning = true;
    clock.schedule(0, pass);
  };

  return {
    read({ wholeTokens, share }, done) {
      const tokens = Math.max(1, Math.ceil(wholeTokens * share));
      const time = prefillTime(profile, wholeTokens) * share;
      (share < 1 ? parts : reads).push({ tokens, time, left: tokens, done });
      wake();
    },
    write({ contextTokens, events }, event) {
      waiting.push({ contextTokens, left: events, event });
      wake();
    },
  };
}
