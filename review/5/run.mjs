// A request that crashes each runner that runs it, before and after all
// gateways were killed at the same moment.

import { createServer } from "node:http";
import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { sendRequest } from "../lib/client.mjs";
import {
  newHost,
  runCase,
  runnerEntry,
  until,
  wait,
} from "../lib/deployment.mjs";

/// With TROUBLE=0, everything but the disruption is done.
const hasTrouble = process.env["TROUBLE"] !== "0";

const GATEWAYS = 3;
const DESKS = 3;
const CRASH_AFTER_MILLISECONDS = 20;
/// A runner that has crashed is back after some seconds.
const AWAY_MILLISECONDS = 2_000;
const DEADLY = "a deadly order";
/// The deadly request comes again at any machine.
const REPEATS = 5;
const REPEAT_INTERVAL_MILLISECONDS = 2_500;
const KILLS = 2;
const RESTART_MILLISECONDS = 500;
/// StableWindowMs of the sheet, and some time to link again.
const STABLE_WINDOW_MILLISECONDS = 3_000;
const MARGIN_MILLISECONDS = 1_000;
/// The rule: more than three retries of it reach runners.
const ALLOWED = 3;

/// Starts a runner that crashes under the deadly request: its listener and all
/// of its channels close, and it starts again at the same address.
async function startRunner(id, { store, record, onDeadly }) {
  const host = newHost();
  let port = 0;
  let starts = 0;
  const start = async () => {
    const sockets = new Set();
    const server = createServer(async (message, response) => {
      let body = "";
      for await (const chunk of message) body += chunk;
      const attempt = message.headers["x-attempt-id"];
      record.add(`${attempt} run at ${id}`);
      if (body === DEADLY) {
        onDeadly(attempt);
        await wait(CRASH_AFTER_MILLISECONDS);
        record.add(`${id} crashes`);
        server.close();
        setImmediate(() => {
          for (const socket of sockets) socket.destroy();
        });
        await wait(AWAY_MILLISECONDS);
        return await start();
      }
      response.writeHead(200, {
        "X-Attempt-Id": attempt,
        "X-Response-Signature": `signed by ${id}`,
        "Content-Length": 3,
      });
      response.end("ok\n");
    });
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      socket.on("error", () => {});
    });
    await new Promise((done) => server.listen(port, host, done));
    port = server.address().port;
    starts += 1;
    const born = 1_790_000_000_000 + 1_000 * starts;
    const fields = { Slots: 6, Seq: starts, born };
    store.put(
      `servers/${id}`,
      runnerEntry("order-desk", `${host}:${port}`, fields),
    );
  };
  await start();
}

await runCase(dirname(fileURLToPath(import.meta.url)), {
  hasTrouble,
  gateways: GATEWAYS,
  async prepare({ store, record }) {
    const state = { crashes: 0, thirdAt: Infinity, inTouchAt: 0 };
    /// Deadly requests that reached runners after the third crash, from machines
    /// in touch.
    const reached = new Set();
    const onDeadly = (attempt) => {
      const now = performance.now();
      const isCounted = now > state.inTouchAt &&
        now > state.thirdAt + STABLE_WINDOW_MILLISECONDS;
      if (isCounted) reached.add(attempt);
      state.crashes += 1;
      if (state.crashes === 3) state.thirdAt = now;
    };
    for (let index = 0; index < DESKS; index++) {
      const id = `order-desk-${index}`;
      await startRunner(id, { store, record, onDeadly });
    }
    return { state, reached };
  },
  async play({ gateways, record, state, reached }) {
    let next = 0;
    const send = async (body) => {
      const gateway = gateways[next % gateways.length];
      const attempt = (0x1000_0000 + next++).toString(16);
      record.add(`${attempt} (${body}) sent to ${gateway.name}`);
      const { status, how } = await sendRequest(gateway, {
        method: "POST",
        path: "/place-order/1",
        attempt,
        fields: { "X-Deadline-Ms": 1_500 },
        body,
      });
      record.add(`${attempt} answered: ${status ?? how}`);
    };
    const sendRepeats = async () => {
      for (let repeat = 0; repeat < REPEATS; repeat++) {
        await send(DEADLY);
        await wait(REPEAT_INTERVAL_MILLISECONDS);
        await send(`a sound order ${next}`);
      }
    };

    await sendRepeats();
    for (let kill = 1; kill <= KILLS; kill++) {
      if (hasTrouble) {
        record.add("SIGKILL of all gateways");
        await Promise.all(gateways.map((gateway) => gateway.kill()));
        await wait(RESTART_MILLISECONDS);
        for (const gateway of gateways) gateway.start();
        state.inTouchAt = performance.now() + STABLE_WINDOW_MILLISECONDS;
        await until(
          async () =>
            (await Promise.all(gateways.map((each) => each.isReady())))
              .every((each) => each),
          "gateways ready",
        );
      }
      await wait(STABLE_WINDOW_MILLISECONDS + MARGIN_MILLISECONDS);
      await sendRepeats();
    }
    record.add(
      `deadly requests that reached runners after the third crash and ` +
        `StableWindowMs, from machines in touch: ${reached.size}`,
    );
    return reached.size > ALLOWED ? reached.size : 0;
  },
});
