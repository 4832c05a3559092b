import { createHash } from "node:crypto";
import {
  type CacheEvent,
  type CacheReference,
  type CompletionCall,
  type EngineChunk,
  type EngineClient,
  EngineLostError,
  EngineNotReachedError,
  type EngineOrder,
  EngineRefusedError,
  type ListedStream,
  type LoadReport,
  type ReservationCall,
  type SpanCall,
  type StreamEnd,
} from "../src/upstreams/engine_client.ts";
import { BLOCK_TOKENS } from "../src/upstreams/prompt_blocks.ts";
import type { Clock, Timer } from "../src/support/clock.ts";

/// An engine with continuous batching, as the emulator and the measurements
/// use it: one step decodes a token for every running stream and prefills a
/// bounded number of prompt tokens.

export interface EngineModelOptions {
  readonly clock: Clock;
  readonly name: string;
  readonly model: string;
  readonly version?: string;
  readonly memoryTokens?: number;
  /// Prompt tokens that one step may prefill.
  readonly prefillTokensPerStep?: number;
  /// Duration of an empty step.
  readonly stepMilliseconds?: number;
  readonly prefillMillisecondsPerToken?: number;
  readonly decodeMillisecondsPerStream?: number;
  /// How old load reports and cache events are.
  readonly reportLagMilliseconds?: number;
  /// Every nth cache event is lost; 0 loses none.
  readonly lostCacheEventInterval?: number;
  readonly checksFencing?: boolean;
  /// Engines with false answer an empty list of streams.
  readonly listsStreams?: boolean;
  /// Whether running this call crashes the engine.
  readonly crashesOn?: (call: SpanCall) => boolean;
  /// Whether the answer of this control call is lost after it took effect.
  readonly losesAnswer?: (operation: ControlOperation) => boolean;
  /// How long an ended stream can still be resumed.
  readonly retainMilliseconds?: number;
}

/// Calls that carry no stream.
export type ControlOperation =
  | "cancel"
  | "reserve"
  | "renew"
  | "release"
  | "dropExport";

/// Everything the engine counted, for checks of what really happened.
export interface EngineCounters {
  started: number;
  finished: number;
  cancelled: number;
  crashes: number;
  prefilledTokens: number;
  generatedTokens: number;
  refusedOrders: number;
  acceptedOrders: EngineOrder[];
}

export interface EngineModel extends EngineClient {
  readonly name: string;
  readonly counters: EngineCounters;
  /// Tokens of memory held by streams, reservations and exports.
  heldTokens(): number;
  runningStreams(): number;
  /// Loses everything in memory and refuses calls until `restart`.
  crash(): void;
  restart(): void;
  /// Makes no progress for `duration`.
  stall(duration: number): void;
  /// Answers no control call for `duration`.
  hang(duration: number): void;
  /// Multiplies the duration of every step.
  setSlowdown(factor: number): void;
  setReportLag(milliseconds: number): void;
}

interface StreamRecord {
  readonly call: SpanCall & { readonly maximumTokens: number };
  readonly seed: string;
  readonly cachedTokens: number;
  readonly order: number;
  readonly heldTokens: number;
  readonly exported: boolean;
  attempt: number;
  remainingPrefill: number;
  generated: number;
  admitted: boolean;
  /// Whether its blocks are in the prefix cache.
  stored: boolean;
  end?: StreamEnd;
  lost?: Error;
  waiters: (() => void)[];
}

interface LoadSnapshot {
  readonly time: number;
  readonly report: Omit<LoadReport, "age">;
}

const DEFAULTS = {
  version: "1",
  memoryTokens: 400_000,
  prefillTokensPerStep: 256,
  stepMilliseconds: 8,
  prefillMillisecondsPerToken: 0.04,
  decodeMillisecondsPerStream: 0.1,
  reportLagMilliseconds: 100,
  lostCacheEventInterval: 0,
  checksFencing: true,
  listsStreams: true,
  retainMilliseconds: 30_000,
};
const KEPT_CACHE_EVENTS = 4_096;
/// Outdated snapshots that are dropped together.
const SNAPSHOT_PRUNE_COUNT = 64;
/// Shortest step that the reported rate assumes.
const MINIMUM_STEP_MILLISECONDS = 0.01;
/// Share of the memory that cached prefixes of ended streams may fill.
const PREFIX_CACHE_SHARE = 0.25;

/// Text of the token at `index` of the answer to the prompt with this seed.
export function tokenText(seed: string, index: number): string {
  return ` ${seed.slice(0, 4)}${index}`;
}

/// Seed of the answer to a prompt.
export function seedOf(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(0, 8);
}

/// The whole answer of `tokens` tokens to a prompt.
export function expectedAnswer(prompt: string, tokens: number): string {
  const seed = seedOf(prompt);
  const pieces = Array.from(
    { length: tokens },
    (_, index) => tokenText(seed, index),
  );
  return pieces.join("");
}

export function createEngineModel(given: EngineModelOptions): EngineModel {
  const options = { ...DEFAULTS, ...given };
  const { clock, name } = options;
  const streams = new Map<string, StreamRecord>();
  /// Streams that have neither ended nor been lost, oldest first.
  const live = new Set<StreamRecord>();
  const reservations = new Map<string, { tokens: number; timer: Timer }>();
  const exports = new Map<string, StreamRecord>();
  const cachedBlocks = new Map<string, true>();
  let cacheEvents: (CacheEvent & { readonly time: number })[] = [];
  let snapshots: LoadSnapshot[] = [];
  let model = options.model;
  let version = options.version;
  let highestFencing = 0;
  let order = 0;
  let eventSequence = 0;
  let reportLag = options.reportLagMilliseconds;
  let slowdown = 1;
  let stalledUntil = 0;
  let hangsUntil = 0;
  let down = false;
  let generation = 0;
  let stepping = false;
  const fullStepMilliseconds = options.stepMilliseconds +
    options.prefillTokensPerStep * options.prefillMillisecondsPerToken;
  const counters: EngineCounters = {
    started: 0,
    finished: 0,
    cancelled: 0,
    crashes: 0,
    prefilledTokens: 0,
    generatedTokens: 0,
    refusedOrders: 0,
    acceptedOrders: [],
  };

  /// A reservation pays for the memory of its streams and exports as long as
  /// it is there.
  const isPaid = ({ call }: StreamRecord) =>
    call.reservation !== undefined && reservations.has(call.reservation);

  const heldTokens = () => {
    let held = 0;
    const count = (stream: StreamRecord) => {
      if (stream.admitted && !isPaid(stream)) held += stream.heldTokens;
    };
    live.forEach(count);
    exports.forEach(count);
    for (const reservation of reservations.values()) held += reservation.tokens;
    return held;
  };

  const freeTokens = () => options.memoryTokens - heldTokens();

  const recordSnapshot = () => {
    const time = clock.now();
    let queuedTokens = 0;
    for (const stream of live) queuedTokens += stream.remainingPrefill;
    const report = {
      queuedTokens,
      runningStreams: live.size,
      freeTokens: freeTokens(),
      memoryTokens: options.memoryTokens,
      prefillTokensPerSecond: 1_000 * options.prefillTokensPerStep /
        Math.max(fullStepMilliseconds, MINIMUM_STEP_MILLISECONDS),
      decodeMilliseconds: options.decodeMillisecondsPerStream,
      model,
      version,
    };
    snapshots.push({ time, report });
    const keepFrom = snapshots.findLastIndex((entry) =>
      entry.time <= time - reportLag
    );
    if (keepFrom >= SNAPSHOT_PRUNE_COUNT) snapshots = snapshots.slice(keepFrom);
  };

  const publish = (kind: CacheEvent["kind"], block: string) => {
    const sequence = ++eventSequence;
    const interval = options.lostCacheEventInterval;
    if (interval > 0 && sequence % interval === 0) return;
    cacheEvents.push({ sequence, kind, block, time: clock.now() });
    if (cacheEvents.length > 2 * KEPT_CACHE_EVENTS) {
      cacheEvents = cacheEvents.slice(-KEPT_CACHE_EVENTS);
    }
  };

  const storeBlocks = (blocks: readonly string[]) => {
    for (const block of blocks) {
      if (cachedBlocks.delete(block)) {
        cachedBlocks.set(block, true);
        continue;
      }
      cachedBlocks.set(block, true);
      publish("stored", block);
    }
    const limit = options.memoryTokens * PREFIX_CACHE_SHARE / BLOCK_TOKENS;
    for (const block of cachedBlocks.keys()) {
      if (cachedBlocks.size <= limit) break;
      cachedBlocks.delete(block);
      publish("evicted", block);
    }
  };

  const cachedTokensOf = (blocks: readonly string[]) => {
    let count = 0;
    while (count < blocks.length && cachedBlocks.has(blocks[count]!)) count++;
    return count * BLOCK_TOKENS;
  };

  const wake = (stream: StreamRecord) => {
    const { waiters } = stream;
    stream.waiters = [];
    waiters.forEach((waiter) => waiter());
  };

  const finish = (stream: StreamRecord) => {
    stream.end = {
      finishReason: "length",
      usage: {
        promptTokens: stream.call.prompt.tokens,
        completionTokens: stream.generated,
        cachedTokens: stream.cachedTokens,
      },
    };
    live.delete(stream);
    counters.finished++;
    if (stream.exported) {
      exports.set(stream.call.streamId, stream);
    }
    const { streamId } = stream.call;
    clock.schedule(options.retainMilliseconds, () => {
      if (streams.get(streamId) === stream) streams.delete(streamId);
    });
  };

  const inOrderOfUrgency = (included: (stream: StreamRecord) => boolean) => {
    const found: StreamRecord[] = [];
    for (const stream of live) if (included(stream)) found.push(stream);
    return found.sort((left, right) =>
      left.call.priority - right.call.priority || left.order - right.order
    );
  };

  const admitWaiting = () => {
    const waiting = inOrderOfUrgency((stream) => !stream.admitted);
    for (const stream of waiting) {
      if (!isPaid(stream) && stream.heldTokens > freeTokens()) return;
      stream.admitted = true;
    }
  };

  const prefill = (): number => {
    let budget = options.prefillTokensPerStep;
    const pending = inOrderOfUrgency((stream) =>
      stream.admitted && stream.remainingPrefill > 0
    );
    for (const stream of pending) {
      const tokens = Math.min(budget, stream.remainingPrefill);
      stream.remainingPrefill -= tokens;
      budget -= tokens;
      if (budget === 0) break;
    }
    return options.prefillTokensPerStep - budget;
  };

  const completeStep = (decoding: readonly StreamRecord[]) => {
    for (const stream of decoding) {
      if (stream.end || stream.lost) continue;
      stream.generated++;
      counters.generatedTokens++;
      if (stream.generated >= stream.call.maximumTokens) finish(stream);
      wake(stream);
    }
    for (const stream of live) {
      if (!stream.admitted || stream.remainingPrefill > 0) continue;
      if (!stream.stored) storeBlocks(stream.call.prompt.blocks);
      stream.stored = true;
      if (stream.call.maximumTokens === 0) {
        finish(stream);
        wake(stream);
      }
    }
    recordSnapshot();
  };

  const step = () => {
    admitWaiting();
    const running = [...live].filter((stream) => stream.admitted);
    if (running.length === 0) {
      stepping = false;
      return;
    }
    const culprit = running.find((stream) => options.crashesOn?.(stream.call));
    if (culprit) return crash();
    const prefilled = prefill();
    counters.prefilledTokens += prefilled;
    const decoding = running.filter((stream) =>
      stream.remainingPrefill === 0 && stream.call.maximumTokens > 0
    );
    const duration = slowdown * (options.stepMilliseconds +
      prefilled * options.prefillMillisecondsPerToken +
      decoding.length * options.decodeMillisecondsPerStream);
    const stall = Math.max(0, stalledUntil - clock.now());
    const started = generation;
    clock.schedule(duration + stall, () => {
      if (generation !== started) return;
      completeStep(decoding);
      step();
    });
  };

  /// Goes on after work came or memory was freed.
  const startStepping = () => {
    recordSnapshot();
    if (stepping) return;
    stepping = true;
    step();
  };

  const crash = () => {
    counters.crashes++;
    generation++;
    down = true;
    stepping = false;
    for (const stream of live) {
      stream.lost = new EngineLostError(`${name} crashed`);
      wake(stream);
    }
    live.clear();
    for (const entry of reservations.values()) entry.timer.cancel();
    streams.clear();
    reservations.clear();
    exports.clear();
    cachedBlocks.clear();
  };

  const requireUp = () => {
    if (down) throw new EngineNotReachedError(`${name} is down`);
  };

  const start = (
    call: SpanCall & { readonly maximumTokens: number },
    exported: boolean,
  ) => {
    requireUp();
    if (call.model !== model) throw new EngineRefusedError("model not loaded");
    if (streams.has(call.streamId)) {
      throw new EngineRefusedError("stream id in use");
    }
    const needed = call.prompt.tokens + call.maximumTokens;
    const reserved = call.reservation !== undefined;
    if (reserved && !reservations.has(call.reservation!)) {
      throw new EngineRefusedError("reservation unknown");
    }
    if (!reserved && needed > options.memoryTokens) {
      throw new EngineRefusedError("prompt exceeds memory");
    }
    const cachedTokens = Math.min(
      cachedTokensOf(call.prompt.blocks),
      call.prompt.tokens - 1,
    );
    const stream: StreamRecord = {
      call,
      seed: seedOf(call.prompt.text),
      cachedTokens,
      order: order++,
      heldTokens: needed,
      exported,
      attempt: call.attempt,
      remainingPrefill: call.prompt.tokens - cachedTokens,
      generated: 0,
      admitted: reserved,
      stored: false,
      waiters: [],
    };
    streams.set(call.streamId, stream);
    live.add(stream);
    counters.started++;
    startStepping();
    return stream;
  };

  const cancelRecord = (stream: StreamRecord) => {
    const { streamId } = stream.call;
    if (streams.get(streamId) !== stream) return;
    streams.delete(streamId);
    if (stream.end) return;
    live.delete(stream);
    counters.cancelled++;
    stream.lost = new EngineLostError("cancelled");
    wake(stream);
    startStepping();
  };

  const wait = (stream: StreamRecord, signal: AbortSignal) =>
    new Promise<void>((resolve) => {
      const done = () => {
        signal.removeEventListener("abort", done);
        resolve();
      };
      stream.waiters.push(done);
      signal.addEventListener("abort", done, { once: true });
    });

  async function* read(
    stream: StreamRecord,
    position: { offset: number; attempt: number },
    signal: AbortSignal,
  ): AsyncIterable<EngineChunk> {
    let { offset } = position;
    const { attempt } = position;
    while (true) {
      signal.throwIfAborted();
      if (stream.lost) throw stream.lost;
      if (stream.attempt !== attempt) throw new EngineLostError("superseded");
      const tokens = stream.generated - offset;
      if (tokens === 0 && !stream.end) {
        await wait(stream, signal);
        continue;
      }
      const pieces = Array.from(
        { length: tokens },
        (_, index) => tokenText(stream.seed, offset + index),
      );
      const { end } = stream;
      const { streamId } = stream.call;
      const text = pieces.join("");
      yield { streamId, attempt, offset, text, tokens, end };
      if (end) return;
      offset += tokens;
    }
  }

  async function* complete(call: CompletionCall, signal: AbortSignal) {
    const stream = start(call, false);
    yield* read(stream, { offset: 0, attempt: call.attempt }, signal);
  }

  async function* resume(
    streamId: string,
    position: { offset: number; attempt: number },
    signal: AbortSignal,
  ) {
    requireUp();
    const stream = streams.get(streamId);
    if (!stream) throw new EngineRefusedError("stream unknown");
    if (position.attempt <= stream.attempt) {
      throw new EngineRefusedError("attempt superseded");
    }
    if (position.offset > stream.generated) {
      throw new EngineRefusedError("offset not reached");
    }
    stream.attempt = position.attempt;
    wake(stream);
    yield* read(stream, position, signal);
  }

  const prefillSpan = async (
    call: SpanCall,
    signal: AbortSignal,
  ): Promise<CacheReference> => {
    const stream = start({ ...call, maximumTokens: 0 }, true);
    const position = { offset: 0, attempt: call.attempt };
    for await (const chunk of read(stream, position, signal)) {
      if (chunk.end) break;
    }
    const tokens = call.prompt.tokens;
    return { engine: name, exportId: call.streamId, tokens };
  };

  const startLease = (id: string, tokens: number, duration: number) => {
    reservations.get(id)?.timer.cancel();
    const timer = clock.schedule(duration, () => {
      reservations.delete(id);
      startStepping();
    });
    reservations.set(id, { tokens, timer });
    recordSnapshot();
  };

  const reserve = ({ id, tokens, leaseMilliseconds }: ReservationCall) => {
    if (reservations.has(id)) throw new EngineRefusedError("id in use");
    if (tokens > freeTokens()) {
      throw new EngineRefusedError("not enough free memory");
    }
    startLease(id, tokens, leaseMilliseconds);
  };

  const renew = (id: string, leaseMilliseconds: number) => {
    const entry = reservations.get(id);
    if (!entry) throw new EngineRefusedError("reservation unknown");
    startLease(id, entry.tokens, leaseMilliseconds);
  };

  const control = async (operation: ControlOperation, action: () => void) => {
    await Promise.resolve();
    requireUp();
    const started = generation;
    const delay = hangsUntil - clock.now();
    if (delay > 0) await clock.sleep(delay);
    if (generation !== started) throw new EngineLostError(`${name} crashed`);
    action();
    if (options.losesAnswer?.(operation)) {
      throw new EngineLostError("the answer was lost");
    }
  };

  const obey = (given: EngineOrder) => {
    requireUp();
    if (options.checksFencing && given.fencing < highestFencing) {
      counters.refusedOrders++;
      throw new EngineRefusedError("old fencing number");
    }
    highestFencing = Math.max(highestFencing, given.fencing);
    counters.acceptedOrders.push(given);
    if (given.kind !== "load") return;
    model = given.model;
    version = given.version;
    recordSnapshot();
  };

  const load = (): LoadReport => {
    requireUp();
    if (snapshots.length === 0) recordSnapshot();
    const visible = clock.now() - reportLag;
    const entry = snapshots.findLast((item) => item.time <= visible) ??
      snapshots[0]!;
    return { ...entry.report, age: reportLag };
  };

  const listStreams = (): ListedStream[] => {
    requireUp();
    if (!options.listsStreams) return [];
    return [...live].map((stream) => ({
      streamId: stream.call.streamId,
      attempt: stream.attempt,
      tokens: stream.heldTokens,
    }));
  };

  recordSnapshot();
  return {
    name,
    counters,
    heldTokens,
    runningStreams: () => live.size,
    crash,
    restart() {
      down = false;
      snapshots = [];
      recordSnapshot();
    },
    stall: (duration) => void (stalledUntil = clock.now() + duration),
    hang: (duration) => void (hangsUntil = clock.now() + duration),
    setSlowdown: (factor) => void (slowdown = factor),
    setReportLag: (milliseconds) => void (reportLag = milliseconds),
    complete,
    resume,
    prefillSpan,
    cancel: (streamId) =>
      control("cancel", () => {
        const stream = streams.get(streamId);
        if (stream) cancelRecord(stream);
      }),
    listStreams: async () => await Promise.resolve().then(listStreams),
    reserve: (call) => control("reserve", () => reserve(call)),
    renew: (reservation, leaseMilliseconds) =>
      control("renew", () => renew(reservation, leaseMilliseconds)),
    release: (reservation) =>
      control("release", () => {
        reservations.get(reservation)?.timer.cancel();
        if (reservations.delete(reservation)) startStepping();
      }),
    dropExport: (exportId) =>
      control("dropExport", () => {
        if (exports.delete(exportId)) startStepping();
      }),
    order: async (given) => await Promise.resolve().then(() => obey(given)),
    load: async () => await Promise.resolve().then(load),
    cacheEvents: async (after) => {
      await Promise.resolve().then(requireUp);
      const visible = clock.now() - reportLag;
      const from = cacheEvents.findLastIndex((event) =>
        event.sequence <= after
      );
      return cacheEvents
        .slice(from + 1)
        .filter((event) => event.time <= visible)
        .map(({ sequence, kind, block }) => ({ sequence, kind, block }));
    },
  };
}
