import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { PlacementOwners } from "./placement_owners.ts";

/// What the owners of the data centres tell each other of their engines, so that
/// requests go to another data centre when their own is full.

const SUMMARY_INTERVAL_MILLISECONDS: Milliseconds = 250;
/// Age from which a summary no longer counts: several are missing.
const MAXIMUM_SUMMARY_AGE_MILLISECONDS: Milliseconds = 1_000;

/// Free slots of a service.
const ServiceSummary = Type.Object({
  service: Type.String(),
  freeSlots: Type.Number(),
  slots: Type.Number(),
});

const summaryMessage = defineMessage(
  "gateway.cell",
  Type.Object({ services: Type.Array(ServiceSummary) }),
  { replaceKey: () => "cell" },
);

/// Free and total slots of a service in one data centre.
export interface SlotCount {
  readonly freeSlots: number;
  readonly slots: number;
}

export interface CellSummaries {
  /// Share of a service's slots that are free in this VM's data centre.
  localFreeShare(service: string): number;
  /// Owners of other data centres and the share of a service's slots that are
  /// free there, the largest share first.
  others(
    service: string,
  ): readonly { readonly vm: string; readonly freeShare: number }[];
  close(): void;
}

export interface CellSummariesOptions {
  readonly clock: Clock;
  readonly links: Links;
  readonly owners: PlacementOwners;
  /// Names of the services with engines.
  readonly services: () => readonly string[];
  /// Counts the slots of a service in this VM's data centre.
  readonly countSlots: (service: string) => SlotCount;
}

const shareOf = ({ freeSlots, slots }: SlotCount) =>
  slots > 0 ? freeSlots / slots : 0;

export function startCellSummaries(
  options: CellSummariesOptions,
): CellSummaries {
  const { clock, links, owners } = options;
  const stop = new AbortController();
  const summaries = new Map<
    string,
    {
      readonly dataCentre: string;
      readonly at: Milliseconds;
      readonly slots: ReadonlyMap<string, SlotCount>;
    }
  >();

  const sendSummary = () => {
    if (owners.isBroadcast() || !owners.isOwner()) return;
    const services = options.services().map((service) => ({
      service,
      ...options.countSlots(service),
    }));
    for (const { vm, dataCentre } of links.neighbours()) {
      if (dataCentre === links.self.dataCentre) continue;
      links.send(vm, summaryMessage, { services });
    }
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      sendSummary();
      await clock.sleep(SUMMARY_INTERVAL_MILLISECONDS, stop.signal).catch(
        () => {
          // Aborted by close(); the loop ends.
        },
      );
    }
  };

  links.onMessage(summaryMessage, ({ services }, { vm, dataCentre }) => {
    const slots = new Map(
      services.map((summary) => [summary.service, summary]),
    );
    summaries.set(vm, { dataCentre, at: clock.now(), slots });
  });

  void run();
  return {
    localFreeShare: (service) => shareOf(options.countSlots(service)),
    others(service) {
      const oldest = clock.now() - MAXIMUM_SUMMARY_AGE_MILLISECONDS;
      return [...summaries]
        .flatMap(([vm, { dataCentre, at, slots }]) => {
          const count = slots.get(service);
          const isOwner = owners.ownerOf(dataCentre) === vm;
          return count && at >= oldest && isOwner
            ? [{ vm, freeShare: shareOf(count) }]
            : [];
        })
        .sort((left, right) => right.freeShare - left.freeShare);
    },
    close: () => stop.abort(new Error("closed")),
  };
}
