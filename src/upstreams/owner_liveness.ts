import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import {
  type Incarnation,
  incarnationKey,
  linkedOwnersCall,
} from "./engine_reaper_messages.ts";

/// Detects the failure of owners of engine memory. A lost link is not
/// sufficient: other VMs are queried before any memory of an owner is released.

/// Time for which an owner without a link to this VM still counts as live.
const OWNER_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;
/// The same on a VM that has no link to any other VM that could be queried.
const ISOLATED_OWNER_TIMEOUT_MILLISECONDS: Milliseconds = 60_000;
/// VMs that are queried for a link to an owner.
const MAXIMUM_QUERIED_VMS = 3;

export interface OwnerLiveness {
  /// Whether this VM has a link to that incarnation now.
  isLinked(owner: Incarnation): boolean;
  /// Whether the owner has certainly or very likely failed. Queries other VMs.
  hasFailed(owner: Incarnation): Promise<boolean>;
  /// Deletes the time since when an owner has had no link to this VM.
  forget(owner: Incarnation): void;
}

export interface OwnerLivenessOptions {
  readonly clock: Clock;
  readonly links: Links;
}

export function createOwnerLiveness(
  { clock, links }: OwnerLivenessOptions,
): OwnerLiveness {
  const unlinkedSince = new Map<string, Milliseconds>();

  const linkedVms = () => [links.self, ...links.peers()];

  const isLinked = (owner: Incarnation) =>
    linkedVms().some((vm) =>
      vm.vm === owner.vm && vm.incarnation === owner.incarnation
    );

  /// A VM that is linked with another incarnation has restarted, so the earlier
  /// incarnation has ended.
  const hasRestarted = (owner: Incarnation) =>
    linkedVms().some((vm) =>
      vm.vm === owner.vm && vm.incarnation !== owner.incarnation
    );

  const isLinkedToOthers = async (owner: Incarnation) => {
    const queriedVms = links.peers().slice(0, MAXIMUM_QUERIED_VMS);
    const answers = await Promise.allSettled(
      queriedVms.map((vm) =>
        links.call(vm.vm, linkedOwnersCall, { owners: [owner] })
      ),
    );
    return answers.some((answer) =>
      answer.status === "fulfilled" && answer.value.seen.length > 0
    );
  };

  links.onCall(
    linkedOwnersCall,
    ({ owners }) => Promise.resolve({ seen: owners.filter(isLinked) }),
  );

  return {
    isLinked,
    async hasFailed(owner) {
      const key = incarnationKey(owner);
      if (isLinked(owner)) {
        unlinkedSince.delete(key);
        return false;
      }
      if (hasRestarted(owner)) return true;
      const since = unlinkedSince.get(key) ?? clock.now();
      unlinkedSince.set(key, since);
      const timeout = links.peers().length > 0
        ? OWNER_TIMEOUT_MILLISECONDS
        : ISOLATED_OWNER_TIMEOUT_MILLISECONDS;
      if (clock.now() - since < timeout) return false;
      return !await isLinkedToOthers(owner);
    },
    forget: (owner) => void unlinkedSince.delete(incarnationKey(owner)),
  };
}
