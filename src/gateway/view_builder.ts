import type { StoredCrashes } from "../requests/stored_crashes.ts";
import type { WatchEvent } from "../infrastructure/key_value_store.ts";
import { splitEra } from "../infrastructure/store_revision.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { FleetDocuments } from "./dialect.ts";
import type { FleetView, ViewSource } from "./fleet_view.ts";
import type { ChangeSource, StoreReplica } from "./store_replica.ts";
import type { VmDirectory } from "./vm_directory.ts";

/// Parses the changes of the store replica and applies them to the view of the
/// fleet, the list of VMs and the records of crashes.

/// Time in which VMs list themselves again after an outage or a restore of the
/// store. Until then they stay known, since which links there are and which VM
/// places requests follows from the list.
const VM_RELISTING_MILLISECONDS: Milliseconds = 5_000;

export interface ViewBuilderOptions {
  readonly log: Logger;
  readonly documents: FleetDocuments;
  readonly replica: StoreReplica;
  readonly view: FleetView;
  readonly vms: VmDirectory;
  readonly storedCrashes: StoredCrashes;
}

export function startViewBuilder(options: ViewBuilderOptions): void {
  const { log, documents, replica, view, vms, storedCrashes } = options;

  const applyConfiguration = (value: Uint8Array, source: ViewSource) => {
    const { peer, revision } = source;
    const origin = { peer, ...splitEra(revision) };
    try {
      const configuration = documents.parseConfiguration(value);
      if (view.setConfiguration(configuration, source)) return;
      const { version } = configuration;
      const inForce = view.routeTable()?.configuration.version;
      log.info("configuration outdated", { version, inForce, ...origin });
    } catch (error) {
      const reason = (error as Error).message;
      log.warn("configuration not readable", { reason, ...origin });
    }
  };

  const applyPut = (key: string, value: Uint8Array, source: ViewSource) => {
    if (key === documents.configurationKey) {
      return applyConfiguration(value, source);
    }
    if (vms.applyEntry(key, value)) return;
    if (storedCrashes.applyEntry(key, value)) return;
    if (!key.startsWith(documents.upstreamPrefix)) return;
    const upstream = documents.parseUpstream(key, value);
    if (upstream) {
      if (!view.setUpstream(upstream, source)) {
        log.info("entry outdated", { key, ...splitEra(source.revision) });
      }
      return;
    }
    log.warn("entry names no upstream", {
      key,
      ...splitEra(source.revision),
    });
    view.unlistUpstream(key.slice(documents.upstreamPrefix.length), source);
  };

  const applyDelete = (key: string, source: ViewSource) => {
    const isRelisting = view.relistingTimeLeft() > 0;
    storedCrashes.removeEntry(key);
    vms.removeEntry(key, isRelisting ? VM_RELISTING_MILLISECONDS : 0);
    if (!key.startsWith(documents.upstreamPrefix)) return;
    view.removeUpstream(key.slice(documents.upstreamPrefix.length), source);
  };

  const toViewSource = (source: ChangeSource, revision: number): ViewSource =>
    source === "store"
      ? { kind: "store", revision }
      : { kind: "peer", peer: source.peer, revision };

  replica.onChange((events: readonly WatchEvent[], from) => {
    for (const event of events) {
      const { key, value, modifiedRevision } = event.value;
      const source = toViewSource(from, modifiedRevision);
      if (event.kind === "put") applyPut(key, value, source);
      else applyDelete(key, source);
    }
  });
}
