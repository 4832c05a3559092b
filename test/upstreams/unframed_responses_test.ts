import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test, { type ExecutionContext } from "ava";
import {
  createHttpServiceClient,
  ServiceLostError,
} from "../../src/upstreams/service_client.ts";
import { createDirectDialler } from "../../stand_ins/direct_dialler.ts";

/// Responses of services without a length, which end when their connection closes.

async function call(t: ExecutionContext, isReset: boolean) {
  const server = createServer((message, response) => {
    message.resume();
    message.on("end", () => {
      const { socket } = response;
      socket?.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part");
      if (isReset) socket?.resetAndDestroy();
      else socket?.end();
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const client = createHttpServiceClient(
    `127.0.0.1:${port}`,
    createDirectDialler(),
  );
  t.teardown(async () => {
    await client.close();
    server.close();
    server.closeAllConnections();
  });
  return await client.send({
    method: "POST",
    path: "/orders",
    query: "",
    contentType: undefined,
    idempotencyKey: undefined,
    body: Buffer.from("an order"),
  }, new AbortController().signal);
}

// Guards against a reset that arrives with the last bytes and counts as the end.
test("a service's response without a length that is reset with its last bytes is lost", async (t) => {
  for (let round = 0; round < 5; round++) {
    await t.throwsAsync(call(t, true), { instanceOf: ServiceLostError });
  }
});

test("a service's response without a length that ends with a close is whole", async (t) => {
  const { status, body } = await call(t, false);
  t.deepEqual([status, String(body)], [200, "a part"]);
});
