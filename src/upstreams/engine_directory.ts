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

/// What this VM knows of each engine: the last load report, and the prompt
/// tokens it sent itself since then.

const CACHE_INTERVAL_MILLISECONDS = 500;
/// Time an engine rests after a failure before it is chosen again.
const FAILURE_REST_MILLISECONDS = 2_000;
/// An engine whose reports stopped for this long is not chosen.
const REPORT_LIMIT_MILLISECONDS = 5_000;

/// A request sent to an engine that no report covers yet.
interface RecentSend {
  readonly sentAt: Milliseconds;
  readonly uncachedTokens: number;
}

export interface EngineView {
  readonly upstream: Upstream;
  readonly client: EngineClient;
  readonly report: LoadReport | undefined;
  /// Time the state in `report` was true, on this VM's monotonic clock.
  readonly reportTime: Milliseconds;
  /// Requests of this VM that run there.
  readonly outstandingRequests: number;
  readonly outstandingTokens: number;
  /// Uncached prompt tokens this VM sent since the report.
  readonly unreportedTokens: number;
  readonly unreportedRequests: number;
  /// Prefills that have not ended, of this VM and as others announced them.
  readonly prefills: readonly PrefillGroup[];
  /// Tokens of the known prefills when the last report was true.
  readonly prefillTokensAtReport: number;
  /// Tokens of a prompt with these blocks that its cache is thought to hold.
  readonly cachedTokens: (blocks: readonly string[]) => number;
  readonly usable: boolean;
}

/// What is known of a request that is about to be sent.
export interface SendOptions {
  readonly priority?: number;
  readonly isLong?: boolean;
}

/// A request counted at an engine.
export interface SendRecord {
  /// Its first token came.
  prefillEnded(): void;
  /// Takes it off again.
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
  /// Notes that the engine failed; it rests for a while.
  recordFailure(name: string): void;
  close(): void;
}

export interface EngineDirectoryOptions {
  readonly clock: Clock;
  readonly book: ContractBook;
  readonly createClient: (upstream: Upstream) => EngineClient;
  readonly prefills?: PrefillTracker;
  /// Whether cache events are read; true unless given.
  readonly readsCacheEvents?: boolean;
  /// Engines that leave get no new work.
  readonly isLeaving?: (upstream: Upstream) => boolean;
  /// Where load reports come from; each engine is asked if absent.
  readonly reports?: LoadReports;
}

interface EngineState {
  upstream: Upstream;
  readonly client: EngineClient;
  /// Ends its load reports.
  unfollow: () => void;
  report: LoadReport | undefined;
  reportTime: Milliseconds;
  recentSends: RecentSend[];
  outstandingRequests: number;
  outstandingTokens: number;
  restUntil: Milliseconds;
  readonly cache: CacheView;
  /// Ends the reading of its cache events.
  readonly stop: AbortController;
  /// Tokens of the known prefills at each poll, oldest first.
  knownTokens: { readonly at: Milliseconds; readonly tokens: number }[];
}

/// Follows the sheet and polls every engine's load.
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
    state.recentSends = state.recentSends.filter((send) =>
      send.sentAt >= state.reportTime
    );
    const { knownTokens } = state;
    knownTokens.push({ at: clock.now(), tokens: knownAt(state) });
    while (knownTokens.length > 1 && knownTokens[1]!.at <= state.reportTime) {
      knownTokens.shift();
    }
  };

  const knownAt = ({ upstream }: EngineState) =>
    prefills.groupsAt(upstream.name).reduce(
      (sum, group) => sum + group.tokens,
      0,
    );

  const followCache = async (state: EngineState) => {
    const { signal } = state.stop;
    const { cache, client } = state;
    while (!signal.aborted) {
      try {
        cache.apply(await client.cacheEvents(cache.sequence));
      } catch {
        cache.clear();
      }
      await clock.sleep(CACHE_INTERVAL_MILLISECONDS, signal).catch(() => {});
    }
  };

  const add = (upstream: Upstream) => {
    const state: EngineState = {
      upstream,
      client: options.createClient(upstream),
      unfollow: () => {},
      report: undefined,
      reportTime: clock.now(),
      recentSends: [],
      outstandingRequests: 0,
      outstandingTokens: 0,
      restUntil: 0,
      cache: createCacheView(),
      stop: new AbortController(),
      knownTokens: [],
    };
    engines.set(upstream.name, state);
    if (options.readsCacheEvents !== false) void followCache(state);
    const onFailure = () => {
      state.restUntil = clock.now() + REPORT_INTERVAL_MILLISECONDS;
    };
    const onReport = (report: LoadReport) => receiveReport(state, report);
    const listener = { onReport, onFailure };
    state.unfollow = reports.subscribe(upstream.name, state.client, listener);
  };

  const remove = (state: EngineState) => {
    state.unfollow();
    state.stop.abort();
    engines.delete(state.upstream.name);
  };

  const follow = (upstreams: readonly Upstream[]) => {
    const wanted = new Map(
      upstreams
        .filter((upstream) => upstream.kind === "engine")
        .map((upstream) => [upstream.name, upstream]),
    );
    for (const state of [...engines.values()]) {
      const next = wanted.get(state.upstream.name);
      if (next?.address === state.upstream.address) state.upstream = next;
      else remove(state);
    }
    for (const upstream of wanted.values()) {
      if (!engines.has(upstream.name)) add(upstream);
    }
  };

  const isUsable = (state: EngineState) => {
    const now = clock.now();
    return !options.isLeaving?.(state.upstream) && now >= state.restUntil &&
      state.report !== undefined &&
      now - state.reportTime < REPORT_LIMIT_MILLISECONDS + state.report.age;
  };

  const view = (state: EngineState): EngineView => ({
    upstream: state.upstream,
    client: state.client,
    report: state.report,
    reportTime: state.reportTime,
    outstandingRequests: state.outstandingRequests,
    outstandingTokens: state.outstandingTokens,
    unreportedTokens: state.recentSends.reduce(
      (total, send) => total + send.uncachedTokens,
      0,
    ),
    unreportedRequests: state.recentSends.length,
    prefills: prefills.groupsAt(state.upstream.name),
    prefillTokensAtReport: state.knownTokens[0]?.tokens ?? 0,
    cachedTokens: state.cache.cachedTokens,
    usable: isUsable(state),
  });

  book.onChange((contracts) => follow(contracts.sheet.upstreams));
  follow(book.current().sheet.upstreams);

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
    recordSend(name, uncachedTokens, details = {}) {
      const state = engines.get(name);
      if (!state) return { prefillEnded: () => {}, end: () => {} };
      const { priority = 0, isLong = false } = details;
      const sentAt = clock.now();
      const send = { priority, tokens: uncachedTokens, isLong };
      const removePrefill = prefills.add(name, send);
      state.recentSends.push({ sentAt, uncachedTokens });
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
      if (state) state.restUntil = clock.now() + FAILURE_REST_MILLISECONDS;
    },
    close() {
      for (const state of [...engines.values()]) remove(state);
    },
  };
}
