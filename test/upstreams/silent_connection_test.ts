import { once } from "node:events";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import {
  type CompletionCall,
  EngineLostError,
  EngineNotReachedError,
} from "../../src/upstreams/engine_client.ts";
import { createHttpEngineClient } from "../../src/upstreams/http_engine_client.ts";
import {
  createHttpServiceClient,
  ServiceNotReachedError,
} from "../../src/upstreams/service_client.ts";
import { createDirectDialler } from "../../stand_ins/direct_dialler.ts";

/// Upstreams that fall silent on open connections, and ones that have ended.

/// Longer than the timeout of a call without a stream.
const SILENCE_MILLISECONDS = 3_000;
const SERVICE_CALL = {
  method: "POST",
  path: "/orders",
  query: "",
  contentType: undefined,
  idempotencyKey: undefined,
  body: Buffer.from("an order"),
} as const;
const COMPLETION: CompletionCall = {
  streamId: "s1",
  attempt: 1,
  model: "m",
  prompt: { text: "a prompt", tokens: 2, blocks: [] },
  maximumTokens: 2,
  priority: 5,
  context: [],
};

const toEvent = (offset: number) => {
  const finish_reason = offset === 1 ? "length" : null;
  const event = {
    choices: [{ text: "text", finish_reason }],
    usage: { prompt_tokens: 2, completion_tokens: 2, cached_tokens: 0 },
    stream: { id: "s1", attempt: 1, offset, tokens: 1 },
  };
  return `data: ${JSON.stringify(event)}\n\n`;
};

async function listen(t: ExecutionContext, respond: RequestListener) {
  const server = createServer(respond);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

for (const tokens of [0, 1]) {
  test(`a stream goes on after a silence in which control calls time out, with ${tokens} tokens received`, async (t) => {
    const address = await listen(t, async ({ url }, response) => {
      if (url !== "/v1/completions") return;
      if (tokens > 0) response.write(toEvent(0));
      await setTimeout(SILENCE_MILLISECONDS);
      if (tokens === 0) response.write(toEvent(0));
      response.end(toEvent(1));
    });
    const dialler = createDirectDialler();
    const client = createHttpEngineClient({ name: "e1", address, dialler });
    t.teardown(client.close);
    const { signal } = new AbortController();
    const read = async () => {
      let received = 0;
      for await (const chunk of client.complete(COMPLETION, signal)) {
        received += chunk.tokens;
      }
      return received;
    };
    const stream = read();
    await t.throwsAsync(client.load(), { instanceOf: EngineLostError });
    t.is(await stream, 2);
  });
}

test("a call is answered after a silence of its service", async (t) => {
  const address = await listen(t, async (_message, response) => {
    await setTimeout(SILENCE_MILLISECONDS);
    response.end("done");
  });
  const client = createHttpServiceClient(address, createDirectDialler());
  t.teardown(client.close);
  const { signal } = new AbortController();
  const { status, body } = await client.send(SERVICE_CALL, signal);
  t.is(`${status} ${body.toString()}`, "200 done");
});

test("an upstream that refuses connections is known to have ended", async (t) => {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  server.close();
  await once(server, "close");
  const dialler = createDirectDialler();
  const engine = createHttpEngineClient({ name: "e1", address, dialler });
  const service = createHttpServiceClient(address, dialler);
  t.teardown(() => Promise.all([engine.close(), service.close()]));
  const { signal } = new AbortController();
  const lost = await t.throwsAsync(engine.load(), {
    instanceOf: EngineNotReachedError,
  });
  t.true(lost!.hasEnded);
  const error = await t.throwsAsync(service.send(SERVICE_CALL, signal), {
    instanceOf: ServiceNotReachedError,
  });
  t.true(error!.hasEnded);
});
