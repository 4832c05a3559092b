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

/// Load reports that the VMs read for each other: one VM of a group polls an
/// engine and sends the reports to the others. When its reports stop, the next
/// VM by rank polls the engine.

/// Up to this many VMs form one group; more form one in each data centre.
const MAXIMUM_SINGLE_GROUP_VMS = 32;
/// Up to this many engines are polled at the shortest interval.
const ENGINES_AT_FULL_RATE = 80;
/// Time without a report after which the next VM by rank polls an engine: the
/// longer one of this time and of this many intervals.
const MINIMUM_STALE_MILLISECONDS = 1_000;
const MINIMUM_STALE_INTERVALS = 1.5;
/// Additional time for each rank.
const RANK_DELAY_MILLISECONDS = 500;
/// Reports within this time are sent in one message.
const BATCH_MILLISECONDS = 25;
/// Interval at which unchanged properties are sent again.
const PROPERTIES_INTERVAL_MILLISECONDS = 10_000;

type EngineProperties = Omit<
  LoadReport,
  "age" | "queuedTokens" | "runningStreams" | "freeTokens"
>;

interface PolledEngine {
  readonly name: string;
  readonly client: EngineClient;
  readonly listener: ReportListener;
  lastReportAt: Milliseconds;
  lastPolledAt: Milliseconds;
  isPolling: boolean;
  properties: EngineProperties | undefined;
  propertiesSentAt: Milliseconds;
  /// Rank of this VM among those that may poll the engine; 0 polls it first.
  rank: number | undefined;
}

interface PolledReport {
  readonly engine: PolledEngine;
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

function propertiesOf(report: LoadReport): EngineProperties {
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

function areEqual(
  left: EngineProperties | undefined,
  right: EngineProperties,
): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

export function createSharedLoadReports(
  options: SharedLoadReportsOptions,
): SharedLoadReports {
  const { clock, links, membership } = options;
  const self = membership.self;
  const engines = new Map<string, PolledEngine>();
  const stop = new AbortController();
  let group: readonly string[] = [];
  let unsent: PolledReport[] = [];

  const updateGroup = () => {
    const candidates = new Set(membership.candidates());
    const isEligible = (dataCentre: string) =>
      candidates.size <= MAXIMUM_SINGLE_GROUP_VMS ||
      dataCentre === self.dataCentre;
    group = membership.members()
      .filter((member) => candidates.has(member.vm))
      .filter((member) => isEligible(member.dataCentre))
      .map((member) => member.vm);
    for (const engine of engines.values()) {
      engine.rank = undefined;
      engine.propertiesSentAt = -Infinity;
    }
  };

  const pollInterval = () =>
    REPORT_INTERVAL_MILLISECONDS *
    Math.max(1, Math.ceil(engines.size / ENGINES_AT_FULL_RATE));

  /// A VM outside the group, such as a draining one, ranks last. It polls an
  /// engine itself when it receives no reports.
  const rankOf = (engine: PolledEngine) => {
    if (engine.rank !== undefined) return engine.rank;
    const ranked = rankByRendezvous(`load ${engine.name}`, group);
    const index = ranked.indexOf(self.vm);
    engine.rank = index < 0 ? ranked.length : index;
    return engine.rank;
  };

  const isDue = (engine: PolledEngine) => {
    const now = clock.now();
    const rank = rankOf(engine);
    const period = pollInterval();
    if (engine.isPolling || now - engine.lastPolledAt < period) return false;
    const stale = Math.max(
      MINIMUM_STALE_MILLISECONDS,
      MINIMUM_STALE_INTERVALS * period,
    );
    const timeout = stale + rank * RANK_DELAY_MILLISECONDS;
    return rank === 0 || now - engine.lastReportAt > timeout;
  };

  const poll = async (engine: PolledEngine) => {
    engine.isPolling = true;
    engine.lastPolledAt = clock.now();
    try {
      const report = await engine.client.load();
      if (engines.get(engine.name) !== engine) return;
      engine.lastReportAt = clock.now();
      engine.listener.onReport(report);
      if (unsent.length === 0) clock.schedule(BATCH_MILLISECONDS, sendReports);
      unsent.push({ engine, report, readAt: clock.now() });
    } catch {
      engine.listener.onFailure();
    } finally {
      engine.isPolling = false;
    }
  };

  /// Reports whose properties the other VMs may lack, because they have changed
  /// or were not sent recently.
  const withNewProperties = (reports: readonly PolledReport[]) =>
    reports.filter(({ engine, report }) => {
      const properties = propertiesOf(report);
      const isOld = clock.now() - engine.propertiesSentAt >
        PROPERTIES_INTERVAL_MILLISECONDS;
      if (!isOld && areEqual(engine.properties, properties)) return false;
      engine.properties = properties;
      engine.propertiesSentAt = clock.now();
      return true;
    });

  const sendReports = () => {
    const reports = unsent;
    unsent = [];
    const others = group.filter((vm) => vm !== self.vm);
    if (stop.signal.aborted || others.length === 0) return;
    const changed = withNewProperties(reports);
    const properties = {
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
      if (changed.length > 0) links.send(vm, PropertiesMessage, properties);
      links.send(vm, LoadMessage, load);
    }
  };

  links.onMessage(PropertiesMessage, (columns) => {
    for (const [index, name] of columns.engines.entries()) {
      const engine = engines.get(name);
      if (!engine) continue;
      engine.properties = {
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
      if (!engine?.properties) continue;
      engine.lastReportAt = clock.now();
      engine.listener.onReport({
        ...engine.properties,
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
        if (isDue(engine)) void poll(engine);
      }
      await clock.sleep(REPORT_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  membership.onChange(updateGroup);
  updateGroup();
  void run();
  return {
    subscribe(name, client, listener) {
      const engine: PolledEngine = {
        name,
        client,
        listener,
        lastReportAt: clock.now(),
        lastPolledAt: -Infinity,
        isPolling: false,
        properties: undefined,
        propertiesSentAt: -Infinity,
        rank: undefined,
      };
      engines.set(name, engine);
      void poll(engine);
      return () => {
        if (engines.get(name) === engine) engines.delete(name);
      };
    },
    close: () => stop.abort(new Error("closed")),
  };
}
