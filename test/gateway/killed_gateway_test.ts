import { mkdtempSync, rmSync } from "node:fs";
import { request as sendRequest } from "node:http";
import { tmpdir } from "node:os";
import test, { type ExecutionContext } from "ava";
import { STORED_CRASHES_PREFIX } from "../../src/requests/stored_crashes.ts";
import {
  API_KEY,
  HOST,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { createGatewayProcess } from "../../stand_ins/soak/gateway_process.ts";

/// Gateways as processes that are killed while they forward a response.

const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

const DEADLY = { path: "/once/crash", body: "an order" };
const UPSTREAMS = 8;

/// Sends a request to a gateway process, and again while it has no configuration.
/// `onData` is called with each piece of the body.
async function send(
  address: string,
  { path, body, onData = () => {} }: {
    readonly path: string;
    readonly body: string;
    readonly onData?: () => void;
  },
) {
  const [host, port] = address.split(":");
  const sendOnce = () =>
    new Promise<{ status: number; body: string; isWhole: boolean }>(
      (resolve, reject) => {
        sendRequest({
          host,
          port,
          agent: false,
          method: "POST",
          path,
          headers: {
            Host: HOST,
            "X-Attempt-Id": `killed-${nextAttempt++}`,
            "X-Deadline-Ms": "2500",
            "X-Token-Counts": "1460,80",
            Authorization: `Token ${API_KEY}`,
          },
        }, (response) => {
          let text = "";
          const end = () =>
            resolve({
              status: response.statusCode!,
              body: text,
              isWhole: response.complete,
            });
          response.on("data", (chunk) => {
            text += chunk;
            if (response.statusCode === 200) onData();
          });
          response.on("end", end);
          response.on("error", end);
        }).on("error", reject).end(body);
      },
    );
  let result = await sendOnce();
  while (/no configuration|no upstream/.test(result.body)) {
    await new Promise((resolve) => setTimeout(resolve, 50));
    result = await sendOnce();
  }
  return result;
}

let nextAttempt = 1;

async function deploy(t: ExecutionContext, count: number) {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-killed-`);
  t.teardown(() => rmSync(folder, { recursive: true }));
  const { address: storeAddress } = await deployment.store.openEndpoint();
  const gateways = await Promise.all(
    Array.from(
      { length: count },
      (_, index) =>
        createGatewayProcess(`killed-${index}`, { storeAddress, folder }),
    ),
  );
  const kill = async () => {
    for (const gateway of gateways) gateway.signal("SIGKILL");
    await Promise.all(gateways.map((gateway) => gateway.waitForExit()));
  };
  t.teardown(kill);
  return { deployment, gateways, kill };
}

interface FramingCase {
  readonly title: string;
  readonly fields: readonly string[];
  readonly format: (text: string) => string;
}

const FRAMINGS: readonly FramingCase[] = [
  {
    title: "without a length",
    fields: ["Connection: close"],
    format: (text) => text,
  },
  {
    title: "in chunks",
    fields: ["Transfer-Encoding: chunked"],
    format: (text) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`,
  },
];

// Guards against a stream whose end is that of its gateway and looks complete.
for (const { title, fields, format } of FRAMINGS) {
  test(`a stream ${title} doesn't look complete when its gateway is killed`, async (t) => {
    const { deployment, gateways: [gateway] } = await deploy(t, 1);
    await deployment.addUpstream("engines", "e1", () => ({
      kind: "raw",
      write(socket, head) {
        const lines = ["Content-Type: text/event-stream", ...fields];
        socket.write(`${head(lines)}\r\n${format(event(1))}`);
      },
    }));
    await gateway!.start();
    const result = await send(gateway!.callerAddress, {
      path: "/ask/1",
      body: "a prompt",
      onData: () => gateway!.signal("SIGKILL"),
    });
    t.deepEqual(result, { status: 200, body: event(1), isWhole: false });
  });
}

// Guards against gateways that all restart and try a refused request again.
test("a request that crashes upstreams stays refused when all gateways are killed", async (t) => {
  const { deployment, gateways, kill } = await deploy(t, 2);
  const upstreams = await Promise.all(
    Array.from(
      { length: UPSTREAMS },
      (_, index) =>
        deployment.addUpstream(
          "desk",
          `d${index}`,
          ({ target }) =>
            target === DEADLY.path
              ? { kind: "crash" }
              : { kind: "answer", body: "done" },
        ),
    ),
  );
  const runs = () =>
    upstreams.flatMap(({ requests }) => requests)
      .filter(({ target }) => target === DEADLY.path).length;
  const startAll = () =>
    Promise.all(gateways.map((gateway) => gateway.start()));
  const sendToEach = async () => {
    for (const { callerAddress } of gateways) {
      await send(callerAddress, DEADLY);
      await new Promise((resolve) => setTimeout(resolve, 300));
    }
  };
  const hasEntry = () =>
    [...deployment.store.copy().items.keys()].some((key) =>
      key.startsWith(STORED_CRASHES_PREFIX)
    );

  await startAll();
  for (let round = 0; round < 3; round++) await sendToEach();
  t.is(runs(), 3);
  await until(hasEntry);
  for (let restart = 0; restart < 2; restart++) {
    await kill();
    await startAll();
    await sendToEach();
    t.is(runs(), 3);
  }
  const { status } = await send(gateways[0]!.callerAddress, {
    path: "/once/sound",
    body: "an order",
  });
  t.is(status, 200);
});
