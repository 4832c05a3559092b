import { WebSocket } from "ws";
import type { ListedVm, VmList } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import { parseSocketAddress } from "../support/socket_address.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { DirectPeers } from "./direct_peers.ts";
import { allPeers, type LinkTopology, type PeerSelection } from "./topology.ts";

/// Opens connections to the VMs that this VM has to be connected to, and closes
/// those that it opened and no longer needs.

const DIAL_INTERVAL_MILLISECONDS = 500;
const DIAL_TIMEOUT_MILLISECONDS = 3_000;
/// Of two VMs, the one with the smaller name dials. After this time without a
/// link, the other one dials as well.
const REVERSE_DIAL_DELAY_MILLISECONDS = 2_000;
/// Time without a link after which a VM counts as unusable.
const UNUSABLE_DELAY_MILLISECONDS = 1_200;
/// Minimum age at which an unneeded connection is closed, so that a short-lived
/// change of the VM list doesn't open and close connections.
const MINIMUM_CONNECTION_AGE_MILLISECONDS = 30_000;
const MAXIMUM_FRAME_BYTES = 33_554_432;

/// Options of every link socket.
export const SOCKET_OPTIONS = {
  perMessageDeflate: false,
  maxPayload: MAXIMUM_FRAME_BYTES,
} as const;

export interface DiallerOptions {
  readonly clock: Clock;
  readonly log: Logger;
  readonly self: VmIdentity;
  readonly vmList: VmList;
  readonly peers: DirectPeers;
  /// Number of VMs up to which all connect to each other.
  readonly maximumFullMeshVms: number;
  /// Selects the links above that number.
  readonly topology: LinkTopology;
  /// Called with a socket that has opened. The callee handles the socket from
  /// then on and calls `onClosed` once it has closed.
  readonly onOpen: (
    socket: WebSocket,
    vm: string,
    onClosed: () => void,
  ) => void;
}

export interface Dialler {
  /// Whether the list has too many VMs for a full mesh.
  isSparse(): boolean;
  /// The links of this VM, as last selected.
  selection(): PeerSelection;
  close(): void;
}

export function startDialler(options: DiallerOptions): Dialler {
  const { clock, log, self, peers } = options;
  const stop = new AbortController();
  const dialling = new Set<string>();
  const unconnectedSince = new Map<string, Milliseconds>();
  let isSparse = false;
  let selection: PeerSelection = {
    required: new Set(),
    dialledHere: new Set(),
  };

  const dial = ({ name, linkAddress }: ListedVm) => {
    if (!parseSocketAddress(linkAddress)) return;
    dialling.add(name);
    const dialEnded = () => void dialling.delete(name);
    const socket = new WebSocket(`ws://${linkAddress}`, {
      ...SOCKET_OPTIONS,
      handshakeTimeout: DIAL_TIMEOUT_MILLISECONDS,
    });
    socket.once("error", dialEnded);
    socket.once("open", () => options.onOpen(socket, name, dialEnded));
  };

  const mayDial = (name: string) => {
    const now = clock.now();
    const since = unconnectedSince.get(name) ?? now;
    unconnectedSince.set(name, since);
    return name > self.vm || selection.dialledHere.has(name) ||
      now - since >= REVERSE_DIAL_DELAY_MILLISECONDS;
  };

  const isUsable = (name: string) => {
    if (peers.get(name)) return true;
    const since = unconnectedSince.get(name);
    return since === undefined ||
      clock.now() - since < UNUSABLE_DELAY_MILLISECONDS;
  };

  const dialUnconnected = (
    listed: readonly ListedVm[],
    { required }: PeerSelection,
  ) => {
    for (const vm of listed) {
      if (!required.has(vm.name) || peers.get(vm.name)) {
        unconnectedSince.delete(vm.name);
      } else if (mayDial(vm.name) && !dialling.has(vm.name)) dial(vm);
    }
  };

  const closeUnneeded = ({ required }: PeerSelection) => {
    if (!isSparse) return;
    for (const { identity, connection, connectedAt } of peers.all()) {
      const isOld =
        clock.now() - connectedAt > MINIMUM_CONNECTION_AGE_MILLISECONDS;
      const isDialledHere = connection.role === "dialler";
      if (isOld && isDialledHere && !required.has(identity.vm)) {
        connection.close("no longer needed");
      }
    }
  };

  const updateConnections = async () => {
    const vms = await options.vmList.read();
    const listed = vms.filter((vm) =>
      vm.kind !== "upstream" && vm.state === "live"
    );
    const location = listed.find((vm) => vm.name === self.vm) ??
      { name: self.vm, dataCentre: self.dataCentre };
    isSparse = listed.length > options.maximumFullMeshVms;
    selection = isSparse
      ? options.topology.select(location, listed, isUsable)
      : { required: allPeers(location, listed), dialledHere: new Set() };
    dialUnconnected(listed, selection);
    closeUnneeded(selection);
  };

  const pollVmList = async () => {
    while (!stop.signal.aborted) {
      await updateConnections().catch((error: Error) =>
        log.warn("failed to read the VM list", { reason: error.message })
      );
      await clock.sleep(DIAL_INTERVAL_MILLISECONDS, stop.signal)
        .catch(() => {});
    }
  };

  void pollVmList();
  return {
    isSparse: () => isSparse,
    selection: () => selection,
    close: () => stop.abort(new Error("closed")),
  };
}
