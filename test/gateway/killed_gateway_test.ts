import { mkdtempSync, rmSync } from "node:fs";
import { request as sendRequest } from "node:http";
import { tmpdir } from "node:os";
import test from "ava";
import {
  API_KEY,
  HOST,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { createGatewayProcess } from "../../stand_ins/soak/gateway_process.ts";

/// Gateways as processes that are killed while they forward a response.

const event = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

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
    const deployment = await startPlatformDeployment();
    t.teardown(deployment.close);
    const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-killed-`);
    t.teardown(() => rmSync(folder, { recursive: true }));
    await deployment.addUpstream("engines", "e1", () => ({
      kind: "raw",
      write(socket, head) {
        const lines = ["Content-Type: text/event-stream", ...fields];
        socket.write(`${head(lines)}\r\n${format(event(1))}`);
      },
    }));
    const { address: storeAddress } = await deployment.store.openEndpoint();
    const gateway = await createGatewayProcess("killed", {
      storeAddress,
      folder,
    });
    t.teardown(() => gateway.signal("SIGKILL"));
    await gateway.start();

    const [host, port] = gateway.callerAddress.split(":");
    const send = () =>
      new Promise<{ status: number; body: string; isWhole: boolean }>(
        (resolve, reject) => {
          sendRequest({
            host,
            port,
            agent: false,
            method: "POST",
            path: "/ask/1",
            headers: {
              Host: HOST,
              "X-Attempt-Id": "killed-1",
              "X-Deadline-Ms": "2500",
              "X-Token-Counts": "1460,80",
              Authorization: `Token ${API_KEY}`,
            },
          }, (response) => {
            let body = "";
            const end = () =>
              resolve({
                status: response.statusCode!,
                body,
                isWhole: response.complete,
              });
            response.on("data", (chunk) => {
              body += chunk;
              gateway.signal("SIGKILL");
            });
            response.on("end", end);
            response.on("error", end);
          }).on("error", reject).end("a prompt");
        },
      );
    let result = await send();
    while (result.status === 503) {
      await gateway.start();
      await new Promise((resolve) => setTimeout(resolve, 100));
      result = await send();
    }
    t.deepEqual(result, { status: 200, body: event(1), isWhole: false });
    await until(() => !gateway.isRunning());
  });
}
