// Streams whose runner states no length, while gateways are killed.

import { dirname } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { eventIds, sendRequest } from "../lib/client.mjs";
import { listenHttp, runCase, runnerEntry, wait } from "../lib/deployment.mjs";

/// With TROUBLE=0, everything but the disruption is done.
const hasTrouble = process.env["TROUBLE"] !== "0";

const GATEWAYS = 3;
const RUNNERS = 8;
/// Half of the runners send one in twenty of their answers without a length.
const UNFRAMED_RUNNERS = 4;
const UNFRAMED_EVERY = 20;
const EVENTS = 33;
const EVENT_PAUSE_MILLISECONDS = 40;
const REQUEST_INTERVAL_MILLISECONDS = 30;
const LENGTH_MILLISECONDS = 85_000;
const KILL_INTERVAL_MILLISECONDS = 4_000;
const RESTART_MILLISECONDS = 500;

/// A sound runner: it sends every event of each answer and then ends it.
function createRunner(id, isUnframed, record) {
  let answers = 0;
  return async (message, response) => {
    message.resume();
    const attempt = message.headers["x-attempt-id"];
    const from = Number(message.headers["last-event-id"] ?? 0) + 1;
    answers += 1;
    record.add(`${attempt} run at ${id}`);
    const hasLength = !isUnframed || answers % UNFRAMED_EVERY > 0;
    response.setHeader("X-Attempt-Id", attempt);
    response.setHeader("X-Response-Signature", `signed by ${id}`);
    response.setHeader("Content-Type", "text/event-stream");
    if (!hasLength) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200);
    for (let event = from; event <= EVENTS; event++) {
      if (response.destroyed) {
        if (!hasLength) record.add(`${id} lost the caller of ${attempt}`);
        return;
      }
      response.write(`id: ${event}\ndata: piece ${event} of ${attempt}\n\n`);
      await wait(EVENT_PAUSE_MILLISECONDS);
    }
    response.end();
    if (!hasLength) record.add(`${id} sent all of ${attempt}, without length`);
  };
}

const sendStream = (gateway, attempt) =>
  sendRequest(gateway, {
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

await runCase(dirname(fileURLToPath(import.meta.url)), {
  hasTrouble,
  gateways: GATEWAYS,
  async prepare({ store, record }) {
    for (let index = 0; index < RUNNERS; index++) {
      const id = `scribe-${index}`;
      const act = createRunner(id, index < UNFRAMED_RUNNERS, record);
      const { address } = await listenHttp(act);
      store.put(`servers/${id}`, runnerEntry("scribe", address));
    }
    return {};
  },
  async play({ gateways, record }) {
    let broken = 0;
    let next = 0;
    const pending = [];
    const counts = {};
    const start = performance.now();
    const isOver = () => performance.now() - start > LENGTH_MILLISECONDS;

    const request = async () => {
      const gateway = gateways[next++ % gateways.length];
      if (!gateway.isRunning()) return;
      const attempt = (0x1000_0000 + next).toString(16);
      record.add(`${attempt} sent to ${gateway.name}`);
      const answer = await sendStream(gateway, attempt);
      const { status, body, isComplete, framing, how } = answer;
      const ids = eventIds(body);
      const isWhole = ids.length === EVENTS &&
        ids.every((id, index) => id === index + 1);
      const end = isComplete ? (isWhole ? "whole" : "short") : "incomplete";
      const name = `${status ?? how} ${end}`;
      counts[name] = (counts[name] ?? 0) + 1;
      const isBroken = status === 200 && isComplete && !isWhole;
      if (isBroken) broken += 1;
      record.add(
        `${attempt} answered: ${name} (framing ${framing}, ${how}), ` +
          `${ids.length} of ${EVENTS} events${isBroken ? " BROKEN" : ""}`,
      );
    };

    const killInTurn = async () => {
      for (let turn = 0; !isOver(); turn++) {
        await wait(KILL_INTERVAL_MILLISECONDS);
        const gateway = gateways[turn % gateways.length];
        record.add(`SIGKILL of ${gateway.name}`);
        await gateway.kill();
        await wait(RESTART_MILLISECONDS);
        gateway.start();
      }
    };

    const trouble = hasTrouble ? killInTurn() : undefined;
    while (!isOver()) {
      pending.push(request());
      await wait(REQUEST_INTERVAL_MILLISECONDS);
    }
    await trouble;
    await Promise.all(pending);
    record.add(`requests: ${next}, ${JSON.stringify(counts)}`);
    return broken;
  },
});
