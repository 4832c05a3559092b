import type {
  WeightsDescription,
  WeightStore,
} from "../src/infrastructure/weight_store.ts";
import {
  createStandInApplication,
  listen,
  type StandInServer,
} from "./stand_in_server.ts";

/// The platform's store of model weights: what it has, and its rate.

/// Has every version, each of the same size.
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
