import type { ListedVm } from "../infrastructure/vm_list.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";

/// Chooses the VMs that are asked for a tunnel to an upstream. A partition often
/// affects most VMs of a data centre, so the choice alternates between data
/// centres. VMs in that of the upstream come first: a tunnel over them crosses no
/// further data centre.

/// VMs that are asked for one tunnel.
const MAXIMUM_VMS = 4;
/// Time for which a VM that opened no tunnel comes after the others.
const FAILURE_MEMORY_MILLISECONDS: Milliseconds = 5_000;

/// The order in which VMs are asked for tunnels.
export interface TunnelVms {
  /// Returns the VMs to ask, the first one first.
  choose(
    vms: readonly ListedVm[],
    dataCentre: string | undefined,
  ): readonly ListedVm[];
  /// Records that a VM couldn't open a tunnel.
  recordFailure(vm: string): void;
  recordSuccess(vm: string): void;
}

/// Creates the choice, with a memory of the VMs that failed.
export function createTunnelVms(
  { clock, random }: { readonly clock: Clock; readonly random: RandomSource },
): TunnelVms {
  const failedAt = new Map<string, Milliseconds>();

  const hasFailed = (vm: string) =>
    clock.now() - (failedAt.get(vm) ?? -Infinity) < FAILURE_MEMORY_MILLISECONDS;

  /// Orders at random, VMs that failed recently last.
  const shuffle = (vms: readonly ListedVm[]) =>
    vms.map((vm) => ({
      vm,
      order: random.next() + (hasFailed(vm.name) ? 1 : 0),
    }))
      .sort((left, right) => left.order - right.order);

  return {
    choose(vms, dataCentre) {
      const near = shuffle(vms.filter((vm) => vm.dataCentre === dataCentre));
      const far = shuffle(vms.filter((vm) => vm.dataCentre !== dataCentre));
      const ranked = [near, far].flatMap((group, groupIndex) =>
        group.map(({ vm, order }, index) => ({
          vm,
          rank: 2 * index + groupIndex,
          isDoubtful: order >= 1,
        }))
      );
      ranked.sort((left, right) =>
        Number(left.isDoubtful) - Number(right.isDoubtful) ||
        left.rank - right.rank
      );
      return ranked.slice(0, MAXIMUM_VMS).map(({ vm }) => vm);
    },
    recordFailure: (vm) => void failedAt.set(vm, clock.now()),
    recordSuccess: (vm) => void failedAt.delete(vm),
  };
}
