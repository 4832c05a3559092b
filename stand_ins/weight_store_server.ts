import type {
  WeightsDescription,
  WeightStore,
} from "../src/infrastructure/weight_store.ts";
import {
  createStandInApplication,
  listen,
  type StandInServer,
} from "./stand_in_server.ts";

/// Stand-in for the platform's store of model weights, which returns the size
/// of a version and the download rate.

/// A weight store in memory that returns the same description for each version.
export function createLocalWeightStore(
  description: WeightsDescription,
): WeightStore {
  return { describe: () => Promise.resolve(description) };
}

/// Serves a weight store on a loopback port.
export function startWeightStoreServer(
  store: WeightStore,
): Promise<StandInServer> {
  const application = createStandInApplication();
  application.get("/:model/:version", async (request, reply) => {
    const { model, version } = request.params as {
      model: string;
      version: string;
    };
    const found = await store.describe(model, version);
    return found ?? reply.code(404).send({ message: "unknown version" });
  });
  return listen(application);
}
