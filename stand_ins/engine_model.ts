import { seedOf, tokenText } from "./engine_answer.ts";
import { createPrefixCache } from "./engine_prefix_cache.ts";
import {
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

/// Model of an engine with continuous batching, for the emulator and the
/// measurements. One step decodes a token for every running stream and prefills
/// a bounded number of prompt tokens.

export interface EngineModelOptions {
  readonly clock: Clock;
  readonly name: string;
  readonly model: string;
  readonly version?: string;
  readonly memoryTokens?: number;
  /// Maximum number of prompt tokens that one step prefills.
  readonly prefillTokensPerStep?: number;
  /// Duration of a step without prefill and decode.
  readonly stepMilliseconds?: number;
  readonly prefillMillisecondsPerToken?: number;
  readonly decodeMillisecondsPerStream?: number;
  /// Age of load reports and cache events.
  readonly reportLagMilliseconds?: number;
  /// Every nth cache event is lost; 0 loses none.
  readonly lostCacheEventInterval?: number;
  readonly checksFencing?: boolean;
  /// If false, `listStreams` returns an empty list.
  readonly listsStreams?: boolean;
  /// Whether running this call crashes the engine.
  readonly crashesOn?: (call: SpanCall) => boolean;
  /// Whether the answer of this control call is lost after the call took effect.
  readonly losesAnswer?: (operation: ControlOperation) => boolean;
  /// Time for which an ended stream can still be resumed.
  readonly retainMilliseconds?: number;
}

/// Calls that return no stream.
export type ControlOperation =
  | "cancel"
  | "reserve"
  | "renew"
  | "release"
  | "dropExport";

/// Counts of the engine's work, for checks of what was executed.
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
  /// Drops all streams, reservations, exports and cached blocks. Rejects calls
  /// until `restart`.
  crash(): void;
  restart(): void;
  /// Makes no progress for `duration` milliseconds.
  stall(duration: number): void;
  /// Answers no control call for `duration` milliseconds.
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
  failure?: Error;
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
/// Outdated snapshots are dropped in batches of at least this size.
const SNAPSHOT_PRUNE_COUNT = 64;
/// Lower bound of the step duration from which the prefill rate is calculated.
const MINIMUM_STEP_MILLISECONDS = 0.01;
/// Part of the memory that cached prefixes of ended streams may occupy.
const PREFIX_CACHE_RATIO = 0.25;

export function createEngineModel(given: EngineModelOptions): EngineModel {
  const options = { ...DEFAULTS, ...given };
  const { clock, name } = options;
  const streams = new Map<string, StreamRecord>();
  /// Streams that have neither ended nor failed, oldest first.
  const live = new Set<StreamRecord>();
  const reservations = new Map<string, { tokens: number; timer: Timer }>();
  const exports = new Map<string, StreamRecord>();
  const cache = createPrefixCache({
    clock,
    maximumBlocks: options.memoryTokens * PREFIX_CACHE_RATIO / BLOCK_TOKENS,
    lostEventInterval: options.lostCacheEventInterval,
  });
  let snapshots: LoadSnapshot[] = [];
  let model = options.model;
  let version = options.version;
  let highestFencing = 0;
  let order = 0;
  let reportLag = options.reportLagMilliseconds;
  let slowdown = 1;
  let stalledUntil = 0;
  let hangsUntil = 0;
  let isDown = false;
  let generation = 0;
  let isStepping = false;
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

  /// Whether the memory of a stream or export is already counted in its
  /// reservation. A reservation that was released or has expired covers nothing.
  const isReserved = ({ call }: StreamRecord) =>
    call.reservation !== undefined && reservations.has(call.reservation);

  const heldTokens = () => {
    let held = 0;
    const count = (stream: StreamRecord) => {
      if (stream.admitted && !isReserved(stream)) held += stream.heldTokens;
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

  const notifyReaders = (stream: StreamRecord) => {
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

  const sortedByPriority = (included: (stream: StreamRecord) => boolean) => {
    const found: StreamRecord[] = [];
    for (const stream of live) if (included(stream)) found.push(stream);
    return found.sort((left, right) =>
      left.call.priority - right.call.priority || left.order - right.order
    );
  };

  const admitWaiting = () => {
    const waiting = sortedByPriority((stream) => !stream.admitted);
    for (const stream of waiting) {
      if (!isReserved(stream) && stream.heldTokens > freeTokens()) return;
      stream.admitted = true;
    }
  };

  const prefill = (): number => {
    let budget = options.prefillTokensPerStep;
    const pending = sortedByPriority((stream) =>
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
      if (stream.end || stream.failure) continue;
      stream.generated++;
      counters.generatedTokens++;
      if (stream.generated >= stream.call.maximumTokens) finish(stream);
      notifyReaders(stream);
    }
    for (const stream of live) {
      if (!stream.admitted || stream.remainingPrefill > 0) continue;
      if (!stream.stored) cache.store(stream.call.prompt.blocks);
      stream.stored = true;
      if (stream.call.maximumTokens === 0) {
        finish(stream);
        notifyReaders(stream);
      }
    }
    recordSnapshot();
  };

  const step = () => {
    admitWaiting();
    const running = [...live].filter((stream) => stream.admitted);
    if (running.length === 0) {
      isStepping = false;
      return;
    }
    const crashCause = running.find((stream) =>
      options.crashesOn?.(stream.call)
    );
    if (crashCause) return crash();
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

  /// Starts the next step after work arrived or memory was freed.
  const startStepping = () => {
    recordSnapshot();
    if (isStepping) return;
    isStepping = true;
    step();
  };

  const crash = () => {
    counters.crashes++;
    generation++;
    isDown = true;
    isStepping = false;
    for (const stream of live) {
      stream.failure = new EngineLostError(`${name} crashed`);
      notifyReaders(stream);
    }
    live.clear();
    for (const entry of reservations.values()) entry.timer.cancel();
    streams.clear();
    reservations.clear();
    exports.clear();
    cache.clear();
  };

  const requireUp = () => {
    if (!isDown) return;
    throw new EngineNotReachedError(`${name} is down`, { hasEnded: true });
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
      cache.cachedTokens(call.prompt.blocks),
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

  const cancelStream = (stream: StreamRecord) => {
    const { streamId } = stream.call;
    if (streams.get(streamId) !== stream) return;
    streams.delete(streamId);
    if (stream.end) return;
    live.delete(stream);
    counters.cancelled++;
    stream.failure = new EngineLostError("cancelled");
    notifyReaders(stream);
    startStepping();
  };

  const waitForProgress = (stream: StreamRecord, signal: AbortSignal) =>
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
      if (stream.failure) throw stream.failure;
      if (stream.attempt !== attempt) throw new EngineLostError("superseded");
      const tokens = stream.generated - offset;
      if (tokens === 0 && !stream.end) {
        await waitForProgress(stream, signal);
        continue;
      }
      const texts = Array.from(
        { length: tokens },
        (_, index) => tokenText(stream.seed, offset + index),
      );
      const { end } = stream;
      const { streamId } = stream.call;
      const text = texts.join("");
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
    notifyReaders(stream);
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

  const runControlCall = async (
    operation: ControlOperation,
    action: () => void,
  ) => {
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

  const executeOrder = (engineOrder: EngineOrder) => {
    requireUp();
    if (options.checksFencing && engineOrder.fencing < highestFencing) {
      counters.refusedOrders++;
      throw new EngineRefusedError("old fencing number");
    }
    highestFencing = Math.max(highestFencing, engineOrder.fencing);
    counters.acceptedOrders.push(engineOrder);
    if (engineOrder.kind !== "load") return;
    model = engineOrder.model;
    version = engineOrder.version;
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
      isDown = false;
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
      runControlCall("cancel", () => {
        const stream = streams.get(streamId);
        if (stream) cancelStream(stream);
      }),
    listStreams: async () => await Promise.resolve().then(listStreams),
    reserve: (call) => runControlCall("reserve", () => reserve(call)),
    renew: (reservation, leaseMilliseconds) =>
      runControlCall("renew", () => renew(reservation, leaseMilliseconds)),
    release: (reservation) =>
      runControlCall("release", () => {
        reservations.get(reservation)?.timer.cancel();
        if (reservations.delete(reservation)) startStepping();
      }),
    dropExport: (exportId) =>
      runControlCall("dropExport", () => {
        if (exports.delete(exportId)) startStepping();
      }),
    order: async (engineOrder) =>
      await Promise.resolve().then(() => executeOrder(engineOrder)),
    load: async () => await Promise.resolve().then(load),
    cacheEvents: async (after) => {
      await Promise.resolve().then(requireUp);
      return cache.eventsAfter(after, clock.now() - reportLag);
    },
  };
}
