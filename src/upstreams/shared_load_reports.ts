import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Membership } from "../vms/membership.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import type { EngineClient, LoadReport } from "./engine_client.ts";
import { LoadMessage, PropertiesMessage } from "./load_messages.ts";
import {
  type LoadReports,
  REPORT_INTERVAL_MILLISECONDS,
  type ReportListener,
} from "./load_reports.ts";

/// Load reports that the VMs read for each other: each engine is asked by one
/// VM of a group, which tells the others. When its reports stop, the next VM
/// by rank asks.

/// Up to this many VMs are one group; more have one in each data centre.
const GROUP_LIMIT = 32;
/// Engines that are asked at the shortest interval.
const ENGINES_AT_FULL_RATE = 80;
/// Time without a report after which the next VM by rank asks, and at least
/// this many intervals.
const STALE_MILLISECONDS = 1_000;
const STALE_INTERVALS = 1.5;
/// Further time for each rank.
const RANK_MILLISECONDS = 500;
/// Time in which reports are gathered into one message.
const GATHER_MILLISECONDS = 25;
const FACT_INTERVAL_MILLISECONDS = 10_000;

type Facts = Omit<
  LoadReport,
  "age" | "queuedTokens" | "runningStreams" | "freeTokens"
>;

interface FollowedEngine {
  readonly name: string;
  readonly client: EngineClient;
  readonly listener: ReportListener;
  lastReportAt: Milliseconds;
  lastAskedAt: Milliseconds;
  asking: boolean;
  facts: Facts | undefined;
  factsToldAt: Milliseconds;
  /// Place of this VM among those that may ask; 0 asks first.
  rank: number | undefined;
}

interface ReadReport {
  readonly engine: FollowedEngine;
  readonly report: LoadReport;
  readonly readAt: Milliseconds;
}

export interface SharedLoadReportsOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly membership: Membership;
}

export interface SharedLoadReports extends LoadReports {
  close(): void;
}

function factsOf(report: LoadReport): Facts {
  const { memoryTokens, prefillTokensPerSecond, decodeMilliseconds } = report;
  const { model, version } = report;
  return {
    memoryTokens,
    prefillTokensPerSecond,
    decodeMilliseconds,
    model,
    version,
  };
}

function sameFacts(left: Facts | undefined, right: Facts): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

export function createSharedLoadReports(
  options: SharedLoadReportsOptions,
): SharedLoadReports {
  const { clock, links, membership } = options;
  const self = membership.self;
  const engines = new Map<string, FollowedEngine>();
  const stop = new AbortController();
  let group: readonly string[] = [];
  let read: ReadReport[] = [];

  const findGroup = () => {
    const candidates = new Set(membership.candidates());
    const isNear = (dataCentre: string) =>
      candidates.size <= GROUP_LIMIT || dataCentre === self.dataCentre;
    group = membership.members()
      .filter((member) => candidates.has(member.vm))
      .filter((member) => isNear(member.dataCentre))
      .map((member) => member.vm);
    for (const engine of engines.values()) {
      engine.rank = undefined;
      engine.factsToldAt = -Infinity;
    }
  };

  const interval = () =>
    REPORT_INTERVAL_MILLISECONDS *
    Math.max(1, Math.ceil(engines.size / ENGINES_AT_FULL_RATE));

  /// A VM outside the group, as one that leaves, asks for itself if need be.
  const rankOf = (engine: FollowedEngine) => {
    if (engine.rank !== undefined) return engine.rank;
    const ranked = rankByRendezvous(`load ${engine.name}`, group);
    const place = ranked.indexOf(self.vm);
    engine.rank = place < 0 ? ranked.length : place;
    return engine.rank;
  };

  const isDue = (engine: FollowedEngine) => {
    const now = clock.now();
    const rank = rankOf(engine);
    const pause = interval();
    if (engine.asking || now - engine.lastAskedAt < pause) return false;
    const stale = Math.max(STALE_MILLISECONDS, STALE_INTERVALS * pause);
    const patience = stale + rank * RANK_MILLISECONDS;
    return rank === 0 || now - engine.lastReportAt > patience;
  };

  const ask = async (engine: FollowedEngine) => {
    engine.asking = true;
    engine.lastAskedAt = clock.now();
    try {
      const report = await engine.client.load();
      if (engines.get(engine.name) !== engine) return;
      engine.lastReportAt = clock.now();
      engine.listener.onReport(report);
      if (read.length === 0) clock.schedule(GATHER_MILLISECONDS, tellAll);
      read.push({ engine, report, readAt: clock.now() });
    } catch {
      engine.listener.onFailure();
    } finally {
      engine.asking = false;
    }
  };

  /// Reports whose facts the others may not know.
  const withNewFacts = (reports: readonly ReadReport[]) =>
    reports.filter(({ engine, report }) => {
      const facts = factsOf(report);
      const isOld = clock.now() - engine.factsToldAt >
        FACT_INTERVAL_MILLISECONDS;
      if (!isOld && sameFacts(engine.facts, facts)) return false;
      engine.facts = facts;
      engine.factsToldAt = clock.now();
      return true;
    });

  const tellAll = () => {
    const reports = read;
    read = [];
    const others = group.filter((vm) => vm !== self.vm);
    if (stop.signal.aborted || others.length === 0) return;
    const changed = withNewFacts(reports);
    const facts = {
      engines: changed.map(({ engine }) => engine.name),
      memoryTokens: changed.map(({ report }) => report.memoryTokens),
      prefillTokensPerSecond: changed.map(({ report }) =>
        report.prefillTokensPerSecond
      ),
      decodeMilliseconds: changed.map(({ report }) =>
        report.decodeMilliseconds
      ),
      models: changed.map(({ report }) => report.model),
      versions: changed.map(({ report }) => report.version),
    };
    const load = {
      engines: reports.map(({ engine }) => engine.name),
      ages: reports.map(({ report, readAt }) =>
        Math.round(report.age + clock.now() - readAt)
      ),
      queuedTokens: reports.map(({ report }) => report.queuedTokens),
      runningStreams: reports.map(({ report }) => report.runningStreams),
      freeTokens: reports.map(({ report }) => report.freeTokens),
    };
    for (const vm of others) {
      if (changed.length > 0) links.send(vm, PropertiesMessage, facts);
      links.send(vm, LoadMessage, load);
    }
  };

  links.onMessage(PropertiesMessage, (columns) => {
    for (const [index, name] of columns.engines.entries()) {
      const engine = engines.get(name);
      if (!engine) continue;
      engine.facts = {
        memoryTokens: columns.memoryTokens[index]!,
        prefillTokensPerSecond: columns.prefillTokensPerSecond[index]!,
        decodeMilliseconds: columns.decodeMilliseconds[index]!,
        model: columns.models[index]!,
        version: columns.versions[index]!,
      };
    }
  });
  links.onMessage(LoadMessage, (columns) => {
    for (const [index, name] of columns.engines.entries()) {
      const engine = engines.get(name);
      if (!engine?.facts) continue;
      engine.lastReportAt = clock.now();
      engine.listener.onReport({
        ...engine.facts,
        age: columns.ages[index]!,
        queuedTokens: columns.queuedTokens[index]!,
        runningStreams: columns.runningStreams[index]!,
        freeTokens: columns.freeTokens[index]!,
      });
    }
  });

  const run = async () => {
    while (!stop.signal.aborted) {
      for (const engine of engines.values()) {
        if (isDue(engine)) void ask(engine);
      }
      await clock.sleep(REPORT_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  membership.onChange(findGroup);
  findGroup();
  void run();
  return {
    subscribe(name, client, listener) {
      const engine: FollowedEngine = {
        name,
        client,
        listener,
        lastReportAt: clock.now(),
        lastAskedAt: -Infinity,
        asking: false,
        facts: undefined,
        factsToldAt: -Infinity,
        rank: undefined,
      };
      engines.set(name, engine);
      void ask(engine);
      return () => {
        if (engines.get(name) === engine) engines.delete(name);
      };
    },
    close: () => stop.abort(new Error("closed")),
  };
}
