import type { StoredCrashes } from "../requests/stored_crashes.ts";
import type { WatchEvent } from "../infrastructure/key_value_store.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { FleetDocuments } from "./dialect.ts";
import type { FleetView, ViewSource } from "./fleet_view.ts";
import type { StoreReplica } from "./store_replica.ts";
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
    try {
      view.setConfiguration(documents.parseConfiguration(value), source);
    } catch (error) {
      log.warn("configuration not readable", {
        reason: (error as Error).message,
        revision: source.revision,
      });
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
        log.info("entry outdated", { key, revision: source.revision });
      }
      return;
    }
    log.warn("entry names no upstream", { key, revision: source.revision });
    view.unlistUpstream(key.slice(documents.upstreamPrefix.length), source);
  };

  const applyDelete = (key: string, source: ViewSource) => {
    const isRelisting = view.relistingTimeLeft() > 0;
    storedCrashes.removeEntry(key);
    vms.removeEntry(key, isRelisting ? VM_RELISTING_MILLISECONDS : 0);
    if (!key.startsWith(documents.upstreamPrefix)) return;
    view.removeUpstream(key.slice(documents.upstreamPrefix.length), source);
  };

  replica.onChange((events: readonly WatchEvent[], kind) => {
    for (const event of events) {
      const { key, value, modifiedRevision: revision } = event.value;
      const source = { kind, revision };
      if (event.kind === "put") applyPut(key, value, source);
      else applyDelete(key, source);
    }
  });
}
