import type { WatchEvent } from "../infrastructure/key_value_store.ts";
import type { Logger } from "../support/log.ts";
import type { FleetDocuments } from "./dialect.ts";
import type { FleetView, ViewSource } from "./fleet_view.ts";
import type { StoreReplica } from "./store_replica.ts";
import type { VmDirectory } from "./vm_directory.ts";

/// Decodes what the mirror of the store holds into the view of the fleet and
/// the list of VMs.

export interface ViewBuilderOptions {
  readonly log: Logger;
  readonly documents: FleetDocuments;
  readonly mirror: StoreReplica;
  readonly view: FleetView;
  readonly vms: VmDirectory;
}

export function startViewBuilder(options: ViewBuilderOptions): void {
  const { log, documents, mirror, view, vms } = options;

  const takeConfiguration = (value: Uint8Array, source: ViewSource) => {
    try {
      view.setConfiguration(documents.parseConfiguration(value), source);
    } catch (error) {
      log.warn("configuration not readable", {
        reason: (error as Error).message,
        revision: source.revision,
      });
    }
  };

  const put = (key: string, value: Uint8Array, source: ViewSource) => {
    if (key === documents.configurationKey) {
      return takeConfiguration(value, source);
    }
    if (vms.applyEntry(key, value)) return;
    if (!key.startsWith(documents.upstreamPrefix)) return;
    const upstream = documents.parseUpstream(key, value);
    if (upstream) return view.setUpstream(upstream, source);
    log.warn("entry names no upstream", { key, revision: source.revision });
    view.removeUpstream(key.slice(documents.upstreamPrefix.length), source);
  };

  const remove = (key: string, source: ViewSource) => {
    vms.removeEntry(key);
    if (!key.startsWith(documents.upstreamPrefix)) return;
    view.removeUpstream(key.slice(documents.upstreamPrefix.length), source);
  };

  mirror.onChange((events: readonly WatchEvent[], kind) => {
    for (const event of events) {
      const { key, value, modifiedRevision: revision } = event.value;
      const source = { kind, revision };
      if (event.kind === "put") put(key, value, source);
      else remove(key, source);
    }
  });
}
