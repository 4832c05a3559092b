import type { Sheet } from "../src/contracts/sheet.ts";
import { createSystemClock } from "../src/support/clock.ts";
import type { EngineModelOptions } from "./engine_model.ts";
import { startSurroundings } from "./dependencies.ts";

/// Runs the platform and the upstreams of a sheet as a process of their own.
/// The parent sends one `SurroundingsRequest` and gets the addresses back.

export interface SurroundingsRequest {
  readonly sheet: Sheet;
  readonly engine?: Partial<EngineModelOptions>;
}

/// Addresses of what the process started.
export interface SurroundingsReply {
  readonly sheet: Sheet;
  readonly storeUrl: string;
  readonly vmListUrl: string;
}

process.once("message", async (request: SurroundingsRequest) => {
  const surroundings = await startSurroundings({
    clock: createSystemClock(),
    ...request,
  });
  const { sheet, storeUrl, vmListUrl } = surroundings;
  const reply: SurroundingsReply = { sheet, storeUrl, vmListUrl };
  process.send!(reply);
  process.on("message", surroundings.vmList.set);
});
process.once("disconnect", () => process.exit(0));
