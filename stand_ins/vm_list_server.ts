import type { ListedVm } from "../src/infrastructure/vm_list.ts";
import type { Clock } from "../src/support/clock.ts";
import {
  createStandInApplication,
  listen,
  type StandInServer,
} from "./stand_in_server.ts";

/// Stand-in for the platform's VM list over HTTP. Changes become visible after
/// a lag.
export interface VmListServer extends StandInServer {
  set(vms: readonly ListedVm[]): void;
}

export async function startVmListServer(
  clock: Clock,
  lagMilliseconds = 0,
): Promise<VmListServer> {
  const application = createStandInApplication();
  let visible: readonly ListedVm[] = [];
  application.get("/vms", () => ({ vms: visible }));
  const server = await listen(application);
  return {
    ...server,
    set(vms) {
      if (lagMilliseconds === 0) visible = vms;
      else clock.schedule(lagMilliseconds, () => void (visible = vms));
    },
  };
}
