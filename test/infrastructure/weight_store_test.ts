import test from "ava";
import {
  createHttpWeightStore,
  WeightStoreUnavailableError,
} from "../../src/infrastructure/weight_store.ts";
import {
  createLocalWeightStore,
  startWeightStoreServer,
} from "../../stand_ins/weight_store_server.ts";

test("the client distinguishes a found version, a missing one and a failure", async (t) => {
  const weights = { bytes: 8_000_000_000, bytesPerSecond: 500_000_000 };
  const all = createLocalWeightStore(weights);
  const server = await startWeightStoreServer({
    describe: (model, version) =>
      version === "none"
        ? Promise.resolve(undefined)
        : all.describe(model, version),
  });
  const client = createHttpWeightStore(`http://${server.address}`);
  t.deepEqual(await client.describe("text", "1"), weights);
  t.is(await client.describe("text", "none"), undefined);
  await server.close();
  await t.throwsAsync(client.describe("text", "1"), {
    instanceOf: WeightStoreUnavailableError,
  });
});
