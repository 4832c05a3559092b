import { WebSocket } from "ws";
import type { ListedVm, VmList } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { DirectPeers } from "./direct_peers.ts";
import { allPeers, sparsePeers } from "./topology.ts";

/// Opens connections to the VMs that this one has to reach directly, and
/// closes those that it opened and needs no more.

const DIAL_INTERVAL_MILLISECONDS = 500;
const DIAL_TIMEOUT_MILLISECONDS = 3_000;
/// The smaller name dials. After this time without a link the other does too.
const TAKEOVER_MILLISECONDS = 2_000;
/// Time that a connection that isn't needed stays, so that a change of the
/// list doesn't open and close it.
const UNWANTED_MILLISECONDS = 30_000;
const LARGEST_FRAME_BYTES = 33_554_432;

/// Options of every link socket.
export const SOCKET_OPTIONS = {
  perMessageDeflate: false,
  maxPayload: LARGEST_FRAME_BYTES,
} as const;

export interface DiallerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: VmIdentity;
  readonly vmList: VmList;
  readonly peers: DirectPeers;
  readonly fullMeshLimit: number;
  /// Takes over a socket that has opened. `closed` is to be called at its
  /// end.
  readonly onOpen: (
    socket: WebSocket,
    vm: string,
    closed: () => void,
  ) => void;
}

export interface Dialler {
  /// Whether the list has more VMs than connect to each other.
  isSparse(): boolean;
  close(): void;
}

export function startDialler(options: DiallerOptions): Dialler {
  const { clock, log, self, peers } = options;
  const stop = new AbortController();
  const dialling = new Set<string>();
  const missingSince = new Map<string, Milliseconds>();
  let sparse = false;

  const dial = ({ name, linkAddress }: ListedVm) => {
    dialling.add(name);
    const ended = () => void dialling.delete(name);
    const socket = new WebSocket(`ws://${linkAddress}`, {
      ...SOCKET_OPTIONS,
      handshakeTimeout: DIAL_TIMEOUT_MILLISECONDS,
    });
    socket.once("error", ended);
    socket.once("open", () => options.onOpen(socket, name, ended));
  };

  const isDue = (name: string) => {
    const now = clock.now();
    const since = missingSince.get(name) ?? now;
    missingSince.set(name, since);
    return name > self.vm || now - since >= TAKEOVER_MILLISECONDS;
  };

  const dialMissing = (
    listed: readonly ListedVm[],
    wanted: ReadonlySet<string>,
  ) => {
    for (const vm of listed) {
      if (!wanted.has(vm.name) || peers.get(vm.name)) {
        missingSince.delete(vm.name);
      } else if (isDue(vm.name) && !dialling.has(vm.name)) dial(vm);
    }
  };

  const closeUnwanted = (wanted: ReadonlySet<string>) => {
    if (!sparse) return;
    for (const { identity, connection, since } of peers.all()) {
      const isOld = clock.now() - since > UNWANTED_MILLISECONDS;
      const isOurs = connection.role === "dialler";
      if (isOld && isOurs && !wanted.has(identity.vm)) {
        connection.close("not needed");
      }
    }
  };

  const update = async () => {
    const vms = await options.vmList.read();
    const listed = vms.filter((vm) =>
      vm.kind !== "upstream" && vm.state === "live"
    );
    const place = { name: self.vm, dataCentre: self.dataCentre };
    sparse = listed.length > options.fullMeshLimit;
    const wanted = sparse
      ? sparsePeers(place, listed)
      : allPeers(place, listed);
    dialMissing(listed, wanted);
    closeUnwanted(wanted);
  };

  const run = async () => {
    while (!stop.signal.aborted) {
      await update().catch((error: Error) =>
        log.warn("VM list unreadable", { reason: error.message })
      );
      await clock.sleep(DIAL_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  void run();
  return {
    isSparse: () => sparse,
    close: () => stop.abort(new Error("closed")),
  };
}
