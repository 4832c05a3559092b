import { fleetDocuments } from "../platform/fleet_documents.ts";
import { createFleetView, type FleetView } from "../src/gateway/fleet_view.ts";
import {
  createStoreReplica,
  type StoreReplica,
} from "../src/gateway/store_replica.ts";
import { startViewBuilder } from "../src/gateway/view_builder.ts";
import {
  createVmDirectory,
  type VmDirectory,
} from "../src/gateway/vm_directory.ts";
import {
  type CrashRecords,
  createCrashRecords,
} from "../src/requests/crash_records.ts";
import { createStoredCrashes } from "../src/requests/stored_crashes.ts";
import { createSilentLogger } from "../src/support/log.ts";
import { createFakeClock } from "./fake_clock.ts";
import { createLocalNetwork } from "./local_links.ts";
import { createMemoryStore } from "./memory_store.ts";

/// What one VM makes of the store's contents.
export interface ReplicaView {
  readonly view: FleetView;
  readonly replica: StoreReplica;
  readonly vms: VmDirectory;
  readonly crashRecords: CrashRecords;
  put(key: string, value: Uint8Array): void;
  remove(key: string): void;
}

export function createReplicaView(): ReplicaView {
  const clock = createFakeClock();
  const log = createSilentLogger();
  const view = createFleetView(clock);
  const replica = createStoreReplica();
  const vms = createVmDirectory(clock, log);
  const links = createLocalNetwork(clock).join({
    vm: "vm-1",
    incarnation: "1",
    dataCentre: "north",
  });
  const crashRecords = createCrashRecords({ clock, links, log });
  const storedCrashes = createStoredCrashes({
    clock,
    log,
    store: createMemoryStore(clock).connect(),
    records: crashRecords,
  });
  const documents = fleetDocuments;
  startViewBuilder({ log, documents, replica, view, vms, storedCrashes });
  let revision = 0;
  const change = (kind: "put" | "delete", key: string, value: Uint8Array) => {
    revision += 1;
    const stored = { key, value, modifiedRevision: revision, lease: "0" };
    replica.applyChanges([{ kind, value: stored }], "store");
  };
  return {
    view,
    replica,
    vms,
    crashRecords,
    put: (key, value) => change("put", key, value),
    remove: (key) => change("delete", key, Buffer.alloc(0)),
  };
}
