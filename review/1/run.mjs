// Answers without a length whose channel the runner resets on the way.

import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { eventIds, sendRequest } from "../lib/client.mjs";
import { listenTcp, runCase, runnerEntry, wait } from "../lib/deployment.mjs";

/// With TROUBLE=0, everything but the disruption is done.
const hasTrouble = process.env["TROUBLE"] !== "0";

const GATEWAYS = 3;
const SCRIBES = 6;
const DESKS = 3;
/// Half of the runners break off one in fifty of their answers.
const BROKEN_SHARE = 0.5;
const BROKEN_EVERY = 50;
const EVENTS = 33;
const EVENT_PAUSE_MILLISECONDS = 20;
const WORK_MILLISECONDS = 20;
const ORDER_BYTES = 800;
const REQUEST_INTERVAL_MILLISECONDS = 35;
const LENGTH_MILLISECONDS = 60_000;

const bodyOfOrder = (attempt) =>
  `order ${attempt} `.padEnd(ORDER_BYTES - 4, ".") + "end\n";

/// A runner that serves one request on each channel. Its answers have no length
/// and end with their channels. A faulty one breaks some off: it writes a part and
/// resets the channel.
function createRunner(id, isFaulty, record) {
  let answers = 0;
  return (socket) => {
    let text = "";
    const answer = async () => {
      const attempt = /^x-attempt-id: (\S+)/im.exec(text)[1];
      const lastEvent = /^last-event-id: (\d+)/im.exec(text)?.[1];
      const isStream = text.startsWith("POST /caption/");
      answers += 1;
      record.add(`${attempt} run at ${id}`);
      const isBroken = hasTrouble && isFaulty && answers % BROKEN_EVERY === 0;
      const head = "HTTP/1.1 200 OK\r\n" +
        `X-Attempt-Id: ${attempt}\r\n` +
        `X-Response-Signature: signed by ${id}\r\n` +
        `Content-Type: ${isStream ? "text/event-stream" : "text/plain"}\r\n` +
        "Connection: close\r\n\r\n";
      const breakOff = (part) => {
        socket.write(part);
        socket.resetAndDestroy();
        record.add(`${id} resets the channel of ${attempt} midway`);
      };
      if (!isStream) {
        await wait(WORK_MILLISECONDS);
        const body = bodyOfOrder(attempt);
        if (isBroken) return breakOff(head + body.slice(0, ORDER_BYTES / 2));
        return socket.end(head + body);
      }
      const from = Number(lastEvent ?? 0) + 1;
      const last = from + Math.floor((EVENTS - from) / 2);
      socket.write(head);
      for (let event = from; event <= EVENTS; event++) {
        if (socket.destroyed) return;
        const bytes = `id: ${event}\ndata: piece ${event} of ${attempt}\n\n`;
        if (isBroken && event === last) return breakOff(bytes);
        socket.write(bytes);
        await wait(EVENT_PAUSE_MILLISECONDS);
      }
      socket.end();
    };
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (/\r\n\r\nprompt$/.test(text)) void answer();
    });
  };
}

await runCase(dirname(fileURLToPath(import.meta.url)), {
  hasTrouble,
  gateways: GATEWAYS,
  async prepare({ store, record }) {
    const add = async (service, id, isFaulty) => {
      const act = createRunner(id, isFaulty, record);
      const { address } = await listenTcp(act);
      const fields = service === "scribe" ? {} : { Slots: 6 };
      store.put(`servers/${id}`, runnerEntry(service, address, fields));
    };
    for (let index = 0; index < SCRIBES; index++) {
      await add("scribe", `scribe-${index}`, index < SCRIBES * BROKEN_SHARE);
    }
    for (let index = 0; index < DESKS; index++) {
      await add(
        "order-desk",
        `order-desk-${index}`,
        index + 1 <= DESKS * BROKEN_SHARE,
      );
    }
    return {};
  },
  async play({ gateways, record }) {
    const counts = {};
    let broken = 0;
    let next = 0;
    const pending = [];

    const check = (attempt, answer, isWhole, detail) => {
      const { status, isComplete, framing, how } = answer;
      const end = isComplete ? (isWhole ? "whole" : "short") : "incomplete";
      const name = `${status ?? how} ${end}`;
      counts[name] = (counts[name] ?? 0) + 1;
      const isBroken = status === 200 && isComplete && !isWhole;
      if (isBroken) broken += 1;
      record.add(
        `${attempt} answered: ${name} (framing ${framing}, ${how}), ${detail}` +
          (isBroken ? " BROKEN" : ""),
      );
    };

    const sendCaption = async (gateway, attempt) => {
      const answer = await sendRequest(gateway, {
        method: "POST",
        path: "/caption/1",
        attempt,
        fields: {
          "X-Deadline-Ms": 10_000,
          "X-Model": "m",
          "X-Token-Counts": "4960,1683",
          "X-Prefix-Hash": `5c1e07a2:40,${attempt}:4920`,
        },
        body: "prompt",
      });
      const ids = eventIds(answer.body);
      const isWhole = ids.length === EVENTS &&
        ids.every((id, index) => id === index + 1);
      check(attempt, answer, isWhole, `${ids.length} of ${EVENTS} events`);
    };

    const sendOrder = async (gateway, attempt) => {
      const answer = await sendRequest(gateway, {
        method: "POST",
        path: "/place-order/1",
        attempt,
        fields: { "X-Deadline-Ms": 1_500 },
        body: "prompt",
      });
      const { length } = answer.body;
      const isWhole = answer.body === bodyOfOrder(attempt);
      check(attempt, answer, isWhole, `${length} of ${ORDER_BYTES} bytes`);
    };

    const start = performance.now();
    while (performance.now() - start < LENGTH_MILLISECONDS) {
      const gateway = gateways[next % gateways.length];
      const attempt = (0x1000_0000 + next++).toString(16);
      record.add(`${attempt} sent to ${gateway.name}`);
      pending.push(
        next % 5 === 0
          ? sendOrder(gateway, attempt)
          : sendCaption(gateway, attempt),
      );
      await wait(REQUEST_INTERVAL_MILLISECONDS);
    }
    await Promise.all(pending);
    record.add(`requests: ${next}, ${JSON.stringify(counts)}`);
    return broken;
  },
});
