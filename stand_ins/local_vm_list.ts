import {
  type ListedVm,
  type VmList,
  VmListUnavailableError,
} from "../src/infrastructure/vm_list.ts";
import type { Clock } from "../src/support/clock.ts";

/// The platform's list of machines in memory. Changes show after a lag.
export interface LocalVmList extends VmList {
  /// Lists a machine or changes what is listed of it.
  set(vm: ListedVm): void;
  remove(name: string): void;
  /// Refuses reads until restored.
  setDown(down: boolean): void;
}

export function createLocalVmList(clock: Clock, lag = 0): LocalVmList {
  const visible = new Map<string, ListedVm>();
  let down = false;
  const change = (action: () => void) => {
    if (lag === 0) action();
    else clock.schedule(lag, action);
  };
  return {
    read() {
      if (down) return Promise.reject(new VmListUnavailableError("down"));
      return Promise.resolve([...visible.values()]);
    },
    set: (vm) => change(() => visible.set(vm.name, vm)),
    remove: (name) => change(() => visible.delete(name)),
    setDown: (value) => void (down = value),
  };
}
