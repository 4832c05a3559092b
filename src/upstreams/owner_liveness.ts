import type { Links } from "../links/links.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import {
  type Incarnation,
  incarnationKey,
  linkedOwnersCall,
} from "./engine_reaper_messages.ts";

/// Whether the owner of engine memory is gone. A lost link is no proof: other
/// VMs are asked before anything is taken from an owner.

/// Time an owner without a link to this VM may be silent.
const OWNER_GRACE_MILLISECONDS: Milliseconds = 5_000;
/// The same for a VM that has no link to anyone who could be asked.
const ISOLATED_GRACE_MILLISECONDS: Milliseconds = 60_000;
/// VMs that are asked whether they see an owner.
const WITNESSES = 3;

export interface OwnerLiveness {
  /// Whether this VM has a link to that incarnation now.
  isLinked(owner: Incarnation): boolean;
  /// Whether the owner is certainly or very likely gone. Asks other VMs.
  hasFailed(owner: Incarnation): Promise<boolean>;
  /// Forgets when an owner was last seen.
  forget(owner: Incarnation): void;
}

export interface OwnerLivenessOptions {
  readonly clock: Clock;
  readonly links: Links;
}

export function createOwnerLiveness(
  { clock, links }: OwnerLivenessOptions,
): OwnerLiveness {
  const missedSince = new Map<string, Milliseconds>();

  const linked = () => [links.self, ...links.peers()];

  const isLinked = (owner: Incarnation) =>
    linked().some((vm) =>
      vm.vm === owner.vm && vm.incarnation === owner.incarnation
    );

  /// A VM with another incarnation has restarted: the earlier one is gone.
  const hasRestarted = (owner: Incarnation) =>
    linked().some((vm) =>
      vm.vm === owner.vm && vm.incarnation !== owner.incarnation
    );

  const isSeenByOthers = async (owner: Incarnation) => {
    const witnesses = links.peers().slice(0, WITNESSES);
    const answers = await Promise.allSettled(
      witnesses.map((vm) =>
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
        missedSince.delete(key);
        return false;
      }
      if (hasRestarted(owner)) return true;
      const since = missedSince.get(key) ?? clock.now();
      missedSince.set(key, since);
      const grace = links.peers().length > 0
        ? OWNER_GRACE_MILLISECONDS
        : ISOLATED_GRACE_MILLISECONDS;
      if (clock.now() - since < grace) return false;
      return !await isSeenByOthers(owner);
    },
    forget: (owner) => void missedSince.delete(incarnationKey(owner)),
  };
}
