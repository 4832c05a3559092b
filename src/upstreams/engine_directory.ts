import type { ContractBook } from "../contracts/contract_book.ts";
import type { Upstream } from "../contracts/sheet.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { type CacheView, createCacheView } from "./cache_view.ts";
import type { EngineClient, LoadReport } from "./engine_client.ts";
import {
  createDirectLoadReports,
  type LoadReports,
  REPORT_INTERVAL_MILLISECONDS,
} from "./load_reports.ts";
import {
  createPrefillTracker,
  type PrefillGroup,
  type PrefillTracker,
} from "./prefill_tracker.ts";

/// State of each engine as this VM sees it: the last load report, and the
/// prompt tokens that this VM has sent since.

/// Interval at which cache events are read.
const CACHE_POLL_MILLISECONDS = 500;
/// Time for which an engine is suspended after a failure.
const SUSPENSION_MILLISECONDS = 2_000;
/// Time without a load report after which an engine is not chosen.
const REPORT_TIMEOUT_MILLISECONDS = 5_000;

/// A request that was sent to an engine and that no report covers yet.
interface UnreportedRequest {
  readonly sentAt: Milliseconds;
  readonly uncachedTokens: number;
}

export interface EngineView {
  readonly upstream: Upstream;
  readonly client: EngineClient;
  readonly report: LoadReport | undefined;
  /// Time to which `report` applies, on this VM's monotonic clock.
  readonly reportTime: Milliseconds;
  /// Requests of this VM that are running at the engine.
  readonly outstandingRequests: number;
  readonly outstandingTokens: number;
  /// Uncached prompt tokens that this VM has sent since the report.
  readonly unreportedTokens: number;
  readonly unreportedRequests: number;
  /// Prefills that have not ended, of this VM and as announced by others.
  readonly prefills: readonly PrefillGroup[];
  /// Tokens of the known prefills at `reportTime`.
  readonly prefillTokensAtReport: number;
  /// Estimated tokens of a prompt with these blocks that the engine has cached.
  readonly cachedTokens: (blocks: readonly string[]) => number;
  /// Whether new requests may be sent to the engine.
  readonly usable: boolean;
}

/// Properties of a request that is about to be sent.
export interface SendOptions {
  readonly priority?: number;
  readonly isLong?: boolean;
}

/// A request that is counted at an engine.
export interface SendRecord {
  /// Records that the request's first token has arrived.
  prefillEnded(): void;
  /// Removes the request from the engine's counts. Idempotent.
  end(): void;
}

export interface EngineDirectory {
  /// Engines of the sheet that serve this model version, usable or not.
  enginesOf(model: string, version: string): readonly EngineView[];
  find(name: string): EngineView | undefined;
  all(): readonly EngineView[];
  /// Counts a request that is about to be sent.
  recordSend(
    name: string,
    uncachedTokens: number,
    options?: SendOptions,
  ): SendRecord;
  /// Records a failure of the engine, which is then suspended.
  recordFailure(name: string): void;
  close(): void;
}

export interface EngineDirectoryOptions {
  readonly clock: Clock;
  readonly book: ContractBook;
  readonly createClient: (upstream: Upstream) => EngineClient;
  readonly prefills?: PrefillTracker;
  /// Whether cache events are read; true by default.
  readonly readsCacheEvents?: boolean;
  /// Whether an upstream is draining; draining engines get no new work.
  readonly isDraining?: (upstream: Upstream) => boolean;
  /// Source of load reports; by default, each engine is polled directly.
  readonly reports?: LoadReports;
}

interface EngineState {
  upstream: Upstream;
  readonly client: EngineClient;
  /// Ends the subscription to its load reports.
  unsubscribe: () => void;
  report: LoadReport | undefined;
  reportTime: Milliseconds;
  unreported: UnreportedRequest[];
  outstandingRequests: number;
  outstandingTokens: number;
  suspendedUntil: Milliseconds;
  readonly cache: CacheView;
  /// Stops the polling of its cache events.
  readonly stop: AbortController;
  /// Tokens of the known prefills at each report, oldest first.
  prefillHistory: { readonly at: Milliseconds; readonly tokens: number }[];
}

/// Creates the state of each engine of the sheet, and updates it with the sheet
/// and with the engines' load reports.
export function createEngineDirectory(
  options: EngineDirectoryOptions,
): EngineDirectory {
  const { clock, book } = options;
  const prefills = options.prefills ?? createPrefillTracker();
  const reports = options.reports ?? createDirectLoadReports(clock);
  const engines = new Map<string, EngineState>();

  const receiveReport = (state: EngineState, report: LoadReport) => {
    state.report = report;
    state.reportTime = clock.now() - report.age;
    state.unreported = state.unreported.filter((send) =>
      send.sentAt >= state.reportTime
    );
    const { prefillHistory } = state;
    prefillHistory.push({ at: clock.now(), tokens: knownPrefillTokens(state) });
    while (
      prefillHistory.length > 1 && prefillHistory[1]!.at <= state.reportTime
    ) {
      prefillHistory.shift();
    }
  };

  const knownPrefillTokens = ({ upstream }: EngineState) =>
    prefills.groupsAt(upstream.name).reduce(
      (sum, group) => sum + group.tokens,
      0,
    );

  const pollCacheEvents = async (state: EngineState) => {
    const { signal } = state.stop;
    const { cache, client } = state;
    while (!signal.aborted) {
      try {
        cache.apply(await client.cacheEvents(cache.sequence));
      } catch {
        cache.clear();
      }
      await clock.sleep(CACHE_POLL_MILLISECONDS, signal).catch(
        () => {},
      );
    }
  };

  const addEngine = (upstream: Upstream) => {
    const state: EngineState = {
      upstream,
      client: options.createClient(upstream),
      unsubscribe: () => {},
      report: undefined,
      reportTime: clock.now(),
      unreported: [],
      outstandingRequests: 0,
      outstandingTokens: 0,
      suspendedUntil: 0,
      cache: createCacheView(),
      stop: new AbortController(),
      prefillHistory: [],
    };
    engines.set(upstream.name, state);
    if (options.readsCacheEvents !== false) void pollCacheEvents(state);
    const onFailure = () => {
      state.suspendedUntil = clock.now() + REPORT_INTERVAL_MILLISECONDS;
    };
    const onReport = (report: LoadReport) => receiveReport(state, report);
    const listener = { onReport, onFailure };
    state.unsubscribe = reports.subscribe(
      upstream.name,
      state.client,
      listener,
    );
  };

  const removeEngine = (state: EngineState) => {
    state.unsubscribe();
    state.stop.abort();
    engines.delete(state.upstream.name);
  };

  const updateEngines = (upstreams: readonly Upstream[]) => {
    const wanted = new Map(
      upstreams
        .filter((upstream) => upstream.kind === "engine")
        .map((upstream) => [upstream.name, upstream]),
    );
    for (const state of [...engines.values()]) {
      const next = wanted.get(state.upstream.name);
      if (next?.address === state.upstream.address) state.upstream = next;
      else removeEngine(state);
    }
    for (const upstream of wanted.values()) {
      if (!engines.has(upstream.name)) addEngine(upstream);
    }
  };

  const isUsable = (state: EngineState) => {
    const now = clock.now();
    return !options.isDraining?.(state.upstream) &&
      now >= state.suspendedUntil &&
      state.report !== undefined &&
      now - state.reportTime < REPORT_TIMEOUT_MILLISECONDS + state.report.age;
  };

  const view = (state: EngineState): EngineView => ({
    upstream: state.upstream,
    client: state.client,
    report: state.report,
    reportTime: state.reportTime,
    outstandingRequests: state.outstandingRequests,
    outstandingTokens: state.outstandingTokens,
    unreportedTokens: state.unreported.reduce(
      (total, send) => total + send.uncachedTokens,
      0,
    ),
    unreportedRequests: state.unreported.length,
    prefills: prefills.groupsAt(state.upstream.name),
    prefillTokensAtReport: state.prefillHistory[0]?.tokens ?? 0,
    cachedTokens: state.cache.cachedTokens,
    usable: isUsable(state),
  });

  book.onChange((contracts) => updateEngines(contracts.sheet.upstreams));
  updateEngines(book.current().sheet.upstreams);

  return {
    enginesOf: (model, version) =>
      [...engines.values()]
        .filter((state) =>
          state.report
            ? state.report.model === model && state.report.version === version
            : state.upstream.serves === model
        )
        .map(view),
    find(name) {
      const state = engines.get(name);
      return state && view(state);
    },
    all: () => [...engines.values()].map(view),
    recordSend(name, uncachedTokens, sendOptions = {}) {
      const state = engines.get(name);
      if (!state) return { prefillEnded: () => {}, end: () => {} };
      const { priority = 0, isLong = false } = sendOptions;
      const sentAt = clock.now();
      const send = { priority, tokens: uncachedTokens, isLong };
      const removePrefill = prefills.add(name, send);
      state.unreported.push({ sentAt, uncachedTokens });
      state.outstandingRequests++;
      state.outstandingTokens += uncachedTokens;
      let ended = false;
      return {
        prefillEnded: removePrefill,
        end() {
          if (ended) return;
          ended = true;
          removePrefill();
          state.outstandingRequests--;
          state.outstandingTokens -= uncachedTokens;
        },
      };
    },
    recordFailure(name) {
      const state = engines.get(name);
      if (state) state.suspendedUntil = clock.now() + SUSPENSION_MILLISECONDS;
    },
    close() {
      for (const state of [...engines.values()]) removeEngine(state);
    },
  };
}
