import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { createByteBudget } from "../../src/gateway/byte_budget.ts";
import {
  type Exchange,
  type ExchangeFailure,
  startExchange,
} from "../../src/gateway/exchange.ts";
import { createPieceQuota } from "../../src/gateway/piece_quota.ts";
import { createUpstreamConnections } from "../../src/gateway/upstream_connections.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import type { UpstreamDialler } from "../../src/tunnels/upstream_dialler.ts";
import type { UpstreamPaths } from "../../src/tunnels/upstream_paths.ts";

/// Requests that are given up while their connection is opened or checked.

async function deploy(t: ExecutionContext) {
  const received: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((message, response) => {
    received.push(message.url!);
    response.end("done");
  });
  server.on("connection", (socket) => void sockets.add(socket));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const clock = createSystemClock();
  const dialler = {
    dial(_address, onResult) {
      const socket = connect(port, "127.0.0.1");
      socket.once(
        "connect",
        () => onResult({ kind: "connected", socket, tunnelVm: undefined }),
      );
      socket.on("error", () => {
        // Its exchange fails.
      });
    },
  } as UpstreamDialler;
  const paths = {
    mayReuse: () => true,
    prune() {},
  } as unknown as UpstreamPaths;
  const connections = createUpstreamConnections({ clock, paths, dialler });
  t.teardown(() => {
    connections.close();
    server.close();
    server.closeAllConnections();
  });
  const start = (
    target: string,
    onResult: (failure?: ExchangeFailure) => void,
  ): Exchange =>
    startExchange({
      clock,
      connections,
      pieceQuota: createPieceQuota(clock),
      unfinishedHeadBytes: createByteBudget(1_000_000),
    }, {
      address: `127.0.0.1:${port}`,
      method: "POST",
      target,
      headers: [],
      body: Buffer.from("an order"),
    }, {
      onHead() {},
      onData() {},
      onEnd: () => onResult(),
      onFailure: onResult,
    });
  return { received, sockets, start };
}

const turn = () => new Promise((resolve) => setImmediate(resolve));
const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const CONNECTIONS = ["new", "idle", "closed", "reset"] as const;

// Guards against a request that is sent after it counted as not sent.
for (const kind of CONNECTIONS) {
  test(`a request that is given up on a connection that is ${kind} is not sent if it counts as that`, async (t) => {
    const { received, sockets, start } = await deploy(t);
    const outcomes = new Set<boolean>();
    for (let turns = 0; turns < 12; turns++) {
      if (kind !== "new") {
        await new Promise((resolve) => start("/before", resolve));
      }
      for (const socket of sockets) {
        if (kind === "closed") socket.end();
        if (kind === "reset") socket.resetAndDestroy();
      }
      sockets.clear();
      const target = `/given-up-${turns}`;
      const exchange = start(target, () => {});
      for (let count = 0; count < turns; count++) await turn();
      exchange.abort();
      const wasSent = exchange.wasSent();
      outcomes.add(wasSent);
      await sleep(50);
      t.is(exchange.wasSent(), wasSent);
      const count = received.filter((each) => each === target).length;
      t.true(count <= (wasSent ? 1 : 0), `${target}: ${count}`);
    }
    t.true(outcomes.has(false));
  });
}

// Guards against a request that fails as not sent although it was, or runs twice.
for (const kind of CONNECTIONS) {
  test(`a request on a connection that is ${kind} is sent once unless it failed`, async (t) => {
    const { received, sockets, start } = await deploy(t);
    for (let turns = 0; turns < 12; turns++) {
      if (kind !== "new") {
        await new Promise((resolve) => start("/before", resolve));
      }
      const target = `/sent-${turns}`;
      const result = new Promise<ExchangeFailure | undefined>((resolve) =>
        start(target, resolve)
      );
      for (let count = 0; count < turns; count++) await turn();
      for (const socket of sockets) {
        if (kind === "closed") socket.end();
        if (kind === "reset") socket.resetAndDestroy();
      }
      sockets.clear();
      const failure = await result;
      await sleep(20);
      const count = received.filter((each) => each === target).length;
      const most = failure?.wasSent === false ? 0 : 1;
      t.true(count <= most, `${target}: ${count}, ${failure?.reason}`);
    }
  });
}
