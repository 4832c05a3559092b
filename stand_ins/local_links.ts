import {
  type Links,
  LinkUnansweredError,
  LinkUnreachableError,
  toCallError,
} from "../src/links/links.ts";
import {
  createMessageRouter,
  type MessageRouter,
} from "../src/links/message_router.ts";
import type { Clock } from "../src/support/clock.ts";
import type { VmIdentity } from "../src/vms/identity.ts";

/// Links between VMs of one process, for tests under the fake clock.
export interface LocalNetwork {
  /// Adds a VM. A VM of the same name replaces the earlier incarnation.
  join(identity: VmIdentity): Links;
  /// Removes a VM without notice.
  remove(vm: string): void;
  /// Cuts or restores the link in the direction from one VM to another.
  setCut(from: string, to: string, cut: boolean): void;
  /// Makes a VM receive and send nothing, like a paused process. Its peers don't
  /// detect it.
  setSilent(vm: string, isSilent: boolean): void;
  /// Number of messages, calls and replies that a VM has received.
  received(vm: string): number;
}

interface Member {
  readonly identity: VmIdentity;
  readonly router: MessageRouter;
  readonly listeners: (() => void)[];
}

const CALL_TIMEOUT_MILLISECONDS = 1_000;

export interface LocalNetworkOptions {
  /// Latency of each message.
  readonly latencyMilliseconds?: number;
  /// Time after which peers detect that a VM was removed or a link was cut in one
  /// direction. Messages sent to that VM or in that direction before then are
  /// lost.
  readonly detectionMilliseconds?: number;
  /// Number of VMs of each data centre that are hubs, the first by name; by
  /// default the topology has no hubs.
  readonly hubsPerDataCentre?: number;
}

/// Creates a network between VMs of this process.
export function createLocalNetwork(
  clock: Clock,
  options: LocalNetworkOptions = {},
): LocalNetwork {
  const latency = options.latencyMilliseconds ?? 1;
  const detection = options.detectionMilliseconds ?? 0;
  const members = new Map<string, Member>();
  const cuts = new Set<string>();
  const silent = new Set<string>();
  const receivedBy = new Map<string, number>();
  /// The VMs and the cuts that `peers` applies. They follow the actual state after
  /// the detection time.
  let visibleMembers: ReadonlyMap<string, Member> = new Map();
  let visibleCuts: ReadonlySet<string> = new Set();

  const isReachable = (from: string, to: string) =>
    members.has(from) && members.has(to) && !cuts.has(`${from} ${to}`);

  const updateVisibleState = () => {
    visibleMembers = new Map(members);
    visibleCuts = new Set(cuts);
    for (const member of members.values()) {
      member.listeners.forEach((listener) => listener());
    }
  };

  const scheduleUpdate = () => {
    if (detection === 0) updateVisibleState();
    else clock.schedule(detection, updateVisibleState);
  };

  const transmit = (from: string, to: Member, action: () => void) => {
    clock.schedule(latency, () => {
      const isCurrent = members.get(to.identity.vm) === to;
      const isSilent = silent.has(from) || silent.has(to.identity.vm);
      if (!isCurrent || isSilent || !isReachable(from, to.identity.vm)) return;
      const { vm } = to.identity;
      receivedBy.set(vm, (receivedBy.get(vm) ?? 0) + 1);
      action();
    });
  };

  const createLinks = (member: Member): Links => {
    const self = member.identity;
    const isMember = () => members.get(self.vm) === member;
    const peers = () => {
      if (!isMember()) return [];
      const others = [...visibleMembers.values()].filter((other) =>
        other !== member &&
        !visibleCuts.has(`${self.vm} ${other.identity.vm}`) &&
        !visibleCuts.has(`${other.identity.vm} ${self.vm}`)
      );
      return others.map((other) => other.identity);
    };
    const hubs = (dataCentre = self.dataCentre) => {
      if (options.hubsPerDataCentre === undefined) return undefined;
      return [self, ...peers()]
        .filter((vm) => vm.dataCentre === dataCentre)
        .map(({ vm }) => vm)
        .sort()
        .slice(0, options.hubsPerDataCentre);
    };
    const find = (vm: string) => {
      const connected = peers().some((peer) => peer.vm === vm);
      return connected ? visibleMembers.get(vm) : undefined;
    };
    return {
      self,
      peers,
      neighbours: peers,
      hubs,
      send(vm, type, value) {
        const other = find(vm);
        if (!other) return false;
        const copy = structuredClone(value);
        transmit(self.vm, other, () => {
          other.router.deliver(type.name, copy, self);
        });
        return true;
      },
      broadcast(type, value) {
        for (const peer of peers()) this.send(peer.vm, type, value);
      },
      call(vm, type, value, limits) {
        const other = find(vm);
        if (!other) {
          return Promise.reject(new LinkUnreachableError(`no link to ${vm}`));
        }
        const limit = limits?.timeoutMilliseconds ?? CALL_TIMEOUT_MILLISECONDS;
        const copy = structuredClone(value);
        return new Promise((resolve, reject) => {
          const timer = clock.schedule(
            limit,
            () => reject(new LinkUnansweredError(`${vm} did not answer`)),
          );
          const settle = (action: () => void) =>
            transmit(vm, member, () => {
              timer.cancel();
              action();
            });
          transmit(self.vm, other, () => {
            other.router.handleCall(type.name, copy, self).then(
              (reply) => settle(() => resolve(structuredClone(reply) as never)),
              (error: Error) =>
                settle(() => reject(toCallError(error.message))),
            );
          });
        });
      },
      onMessage: member.router.onMessage,
      onCall: member.router.onCall,
      onPeersChange: (listener) => void member.listeners.push(listener),
    };
  };

  return {
    join(identity) {
      const router = createMessageRouter();
      const member: Member = { identity, router, listeners: [] };
      members.set(identity.vm, member);
      updateVisibleState();
      return createLinks(member);
    },
    remove(vm) {
      members.delete(vm);
      scheduleUpdate();
    },
    received: (vm) => receivedBy.get(vm) ?? 0,
    setSilent(vm, isSilent) {
      if (isSilent) silent.add(vm);
      else silent.delete(vm);
    },
    setCut(from, to, cut) {
      if (cut) cuts.add(`${from} ${to}`);
      else cuts.delete(`${from} ${to}`);
      scheduleUpdate();
    },
  };
}
