import type { Sheet } from "../src/contracts/sheet.ts";
import { createSystemClock } from "../src/support/clock.ts";
import type { EngineModelOptions } from "./engine_model.ts";
import { startDependencies } from "./dependencies.ts";

/// Runs the stand-ins of the platform and of a sheet's upstreams in a separate
/// process. The parent sends one `DependenciesRequest`, receives a
/// `DependenciesReply`, and then sends the lists of VMs.

export interface DependenciesRequest {
  readonly sheet: Sheet;
  readonly engine?: Partial<EngineModelOptions>;
}

/// Addresses of the stand-ins that the process started.
export interface DependenciesReply {
  readonly sheet: Sheet;
  readonly storeUrl: string;
  readonly vmListUrl: string;
}

process.once("message", async (request: DependenciesRequest) => {
  const dependencies = await startDependencies({
    clock: createSystemClock(),
    ...request,
  });
  const { sheet, storeUrl, vmListUrl } = dependencies;
  const reply: DependenciesReply = { sheet, storeUrl, vmListUrl };
  process.send!(reply);
  process.on("message", dependencies.vmList.set);
});
process.once("disconnect", () => process.exit(0));
