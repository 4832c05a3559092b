import {
  type ListedVm,
  type VmList,
  VmListUnavailableError,
} from "../src/infrastructure/vm_list.ts";
import type { Clock } from "../src/support/clock.ts";

/// In-memory stand-in for the platform's VM list. Changes become visible after
/// a lag.
export interface LocalVmList extends VmList {
  /// Adds a VM or replaces its entry.
  set(vm: ListedVm): void;
  remove(name: string): void;
  /// While down, reads fail.
  setDown(down: boolean): void;
}

export function createLocalVmList(
  clock: Clock,
  lagMilliseconds = 0,
): LocalVmList {
  const visible = new Map<string, ListedVm>();
  let isDown = false;
  const applyAfterLag = (action: () => void) => {
    if (lagMilliseconds === 0) action();
    else clock.schedule(lagMilliseconds, action);
  };
  return {
    read() {
      if (isDown) return Promise.reject(new VmListUnavailableError("down"));
      return Promise.resolve([...visible.values()]);
    },
    set: (vm) => applyAfterLag(() => visible.set(vm.name, vm)),
    remove: (name) => applyAfterLag(() => visible.delete(name)),
    setDown: (value) => void (isDown = value),
  };
}
