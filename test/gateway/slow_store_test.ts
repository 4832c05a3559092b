import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { createStoreClient } from "../../platform/store_client.ts";
import { StoreUnavailableError } from "../../src/infrastructure/key_value_store.ts";

/// Responses of the store that take long, since the link is slow or has failed.

const PAGE = JSON.stringify({
  Items: [{ Key: "servers/e1", Value: "A".repeat(1_400_000), Revision: 2 }],
  HasMore: false,
  StoreRevision: 2,
});

/// Starts a store that sends each response in `chunks` parts with a pause after
/// each, and doesn't send the last part if `isCut`.
async function startStore(
  t: ExecutionContext,
  { chunks, pause, isCut }: { chunks: number; pause: number; isCut: boolean },
) {
  const server = createServer(async (_request, response) => {
    response.writeHead(200, { "Content-Length": PAGE.length });
    const size = Math.ceil(PAGE.length / chunks);
    for (let part = 0; part < chunks - (isCut ? 1 : 0); part++) {
      response.write(PAGE.slice(part * size, (part + 1) * size));
      await sleep(pause);
    }
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const client = createStoreClient(`127.0.0.1:${port}`);
  t.teardown(() => {
    client.close();
    server.closeAllConnections();
    server.close();
  });
  return client;
}

test("a page that takes longer than a call may is read while its bytes arrive", async (t) => {
  const client = await startStore(t, { chunks: 16, pause: 100, isCut: false });
  const { values, revision } = await client.range("");
  t.deepEqual([values.length, revision], [1, 2]);
});

test("a page that stops arriving fails soon", async (t) => {
  const client = await startStore(t, { chunks: 4, pause: 10, isCut: true });
  const start = performance.now();
  await t.throwsAsync(client.range(""), { instanceOf: StoreUnavailableError });
  t.true(performance.now() - start < 2_000);
});
