import type { EventEmitter } from "node:events";
import { createServer, request, type Server } from "node:http";
import {
  type AddressInfo,
  createServer as createTcpServer,
  type Server as TcpServer,
  type Socket,
} from "node:net";
import { randomBytes } from "node:crypto";
import type { Duplex } from "node:stream";
import test, { type ExecutionContext } from "ava";
import { createSystemClock } from "../../src/support/clock.ts";
import {
  dialDirectly,
  type DialResult,
  openTcpSocket,
} from "../../src/tunnels/dial.ts";
import { tunnelCredentials } from "../../src/tunnels/tunnel_credentials.ts";
import { dialThroughVm } from "../../src/tunnels/tunnel_client.ts";
import { startTunnelServer } from "../../src/tunnels/tunnel_server.ts";
import { watchLostVms } from "../../src/tunnels/lost_vms.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { until } from "../../stand_ins/platform/platform_deployment.ts";

/// Tunnels to an upstream that echoes what it receives.

const SECRET = "secret of the links";
const clock = createSystemClock();

async function listen(server: Server | TcpServer): Promise<string> {
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function deploy(
  t: ExecutionContext,
  onUpstream: (socket: Socket) => void,
  options: { readonly mayConnect?: (address: string) => boolean } = {},
) {
  const upstream = createTcpServer({}, (socket) => {
    socket.on("error", () => {});
    onUpstream(socket);
  });
  const address = await listen(upstream);
  const server = createServer();
  const connections: Socket[] = [];
  server.on("connection", (socket: Socket) => void connections.push(socket));
  const vmAddress = await listen(server);
  let isPartitioned = false;
  const tunnels = startTunnelServer({
    clock,
    linkServer: server,
    openSocket: openTcpSocket,
    secrets: ["an earlier secret", SECRET],
    mayConnect: (candidate) => candidate === address,
    ...options,
    isPartitioned: () => isPartitioned,
    onOpened: () => {},
  });
  t.teardown(() => {
    tunnels.close();
    server.close();
    upstream.close();
  });
  const dial = (overrides: { address?: string; secret?: string } = {}) =>
    new Promise<DialResult>((resolve) =>
      void dialThroughVm({
        clock,
        self: "vm-1",
        vmAddress,
        address,
        secret: SECRET,
        timeout: 1_000,
        ...overrides,
      }, resolve)
    );
  const connect = async () => {
    const result = await dial();
    if (result.kind === "failed") throw new Error(result.reason);
    return result.socket;
  };
  /// Asks for a tunnel as earlier builds do.
  const connectWithoutFrames = () =>
    new Promise<Socket>((resolve) => {
      const [host, port] = vmAddress.split(":");
      request({
        host,
        port,
        agent: false,
        method: "CONNECT",
        path: address,
        headers: {
          "Proxy-Authorization": tunnelCredentials(SECRET, address),
          "X-Tunnel-Vm": "vm-1",
        },
      }).on("connect", (_, socket, head) => {
        if (head.length > 0) socket.unshift(head);
        resolve(socket as Socket);
      }).end();
    });
  const partition = () => void (isPartitioned = true);
  /// Closes the connections of the VM, as the kernel does for a killed process.
  const kill = () => connections.forEach((connection) => connection.destroy());
  return {
    tunnels,
    kill,
    upstream,
    dial,
    connect,
    connectWithoutFrames,
    partition,
  };
}

const ODD_ADDRESSES = ["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1", ":80"];

const echo = (socket: Socket) => void socket.pipe(socket);
const once = (socket: EventEmitter, event: string) =>
  new Promise<unknown>((resolve) => socket.once(event, resolve));

test("a tunnel passes bytes on in both directions and ends with its caller", async (t) => {
  const upstreamSockets: Socket[] = [];
  const { connect, tunnels } = await deploy(t, (socket) => {
    echo(socket);
    upstreamSockets.push(socket);
  });
  const socket = await connect();
  socket.write("bytes");
  t.is(String(await once(socket, "data")), "bytes");
  t.is(tunnels.count(), 1);
  socket.destroy();
  await until(() => upstreamSockets[0]!.destroyed && tunnels.count() === 0);
  t.pass();
});

test("a reset of the upstream doesn't look like the end of a response", async (t) => {
  const { connect } = await deploy(t, (socket) => {
    socket.write("a part");
    socket.once("data", () => socket.resetAndDestroy());
  });
  const socket = await connect();
  await once(socket, "data");
  socket.write("go");
  const error = await once(socket, "error") as NodeJS.ErrnoException;
  t.is(error.code, "ECONNRESET");
});

/// Collects what a connection receives until it ends, and how it does.
const receive = (connection: Duplex) =>
  new Promise<{ bytes: Buffer; isWhole: boolean }>((resolve) => {
    const chunks: Buffer[] = [];
    const end = (isWhole: boolean) =>
      resolve({ bytes: Buffer.concat(chunks), isWhole });
    connection.on("data", (chunk: Buffer) => void chunks.push(chunk));
    connection.on("end", () => end(true));
    connection.on("error", () => end(false));
  });

test("all bytes of an upstream that closes pass through a tunnel, and its end does", async (t) => {
  const sent = randomBytes(3_000_000);
  const { connect } = await deploy(t, (socket) => {
    for (let at = 0, size = 1; at < sent.length; at += size, size *= 3) {
      socket.write(sent.subarray(at, at + size));
    }
    socket.end();
  });
  const { bytes, isWhole } = await receive(await connect());
  t.true(isWhole);
  t.true(bytes.equals(sent));
});

test("a tunnel counts the bytes that it has passed on, and no others", async (t) => {
  const sent = randomBytes(1_000_000);
  const { connect } = await deploy(t, (socket) => {
    for (let at = 0; at < sent.length; at += 100) {
      socket.write(sent.subarray(at, at + 100));
    }
  });
  const connection = await connect();
  let read = 0;
  while (read < sent.length) {
    await once(connection, "readable");
    const bytes = connection.read(10_000) ?? connection.read();
    read += (bytes as Buffer | null)?.length ?? 0;
    t.is(connection.bytesRead - connection.readableLength, read);
  }
  connection.destroy();
});

interface EndCase {
  readonly title: string;
  readonly act: (socket: Socket) => void;
  readonly end: (deployment: Awaited<ReturnType<typeof deploy>>) => void;
}

const part = (socket: Socket) =>
  void socket.once("data", () => socket.write("a part"));

/// Ends of tunnels that aren't those of their upstreams.
const ENDS: readonly EndCase[] = [
  {
    title: "that its VM closes",
    act: part,
    end: ({ tunnels }) => tunnels.close(),
  },
  {
    title: "of a VM that is lost",
    act: part,
    end: ({ tunnels }) => tunnels.closeTunnelsOf("vm-1"),
  },
  {
    title: "whose VM is killed",
    act: part,
    end: ({ kill }) => kill(),
  },
  {
    title: "whose upstream resets it with its last bytes",
    act: (socket) =>
      void socket.once("data", () => {
        socket.write("a part");
        socket.resetAndDestroy();
      }),
    end: () => {},
  },
];

// Guards against a tunnel's end that is taken for the end of a response.
for (const { title, act, end } of ENDS) {
  test(`a tunnel ${title} doesn't end like its upstream`, async (t) => {
    const deployment = await deploy(t, act);
    const connection = await deployment.connect();
    connection.once("data", () => end(deployment));
    connection.write("go");
    t.false((await receive(connection)).isWhole);
  });

  // Nothing tells a VM of an earlier build that another one was killed.
  if (title === "whose VM is killed") continue;

  test(`a tunnel ${title} is reset for a VM of an earlier build`, async (t) => {
    const deployment = await deploy(t, act);
    const socket = await deployment.connectWithoutFrames();
    const ended = new Promise<boolean>((resolve) => {
      socket.on("end", () => resolve(socket.remoteAddress === undefined));
      socket.on("error", () => resolve(true));
    });
    socket.once("data", () => end(deployment));
    socket.write("go");
    t.true(await ended);
  });
}

test("the end of a tunnel through a VM of an earlier build isn't that of its upstream", async (t) => {
  const server = createServer();
  server.on(
    "connect",
    (_, socket) =>
      void socket.end("HTTP/1.1 200 Connection Established\r\n\r\na part"),
  );
  const vmAddress = await listen(server);
  t.teardown(() => server.close());
  const result = await new Promise<DialResult>((resolve) =>
    void dialThroughVm({
      clock,
      self: "vm-1",
      vmAddress,
      address: "127.0.0.1:1",
      secret: SECRET,
      timeout: 1_000,
    }, resolve)
  );
  if (result.kind === "failed") return t.fail(result.reason);
  const { bytes, isWhole } = await receive(result.socket);
  t.deepEqual([String(bytes), isWhole], ["a part", false]);
});

test("a tunnel that isn't allowed is refused", async (t) => {
  const { dial, tunnels } = await deploy(t, echo);
  const cases = [{ secret: "another" }, { address: "127.0.0.1:1" }];
  for (const overrides of cases) {
    const result = await dial(overrides);
    t.like(result, { kind: "failed", failure: "unavailable" });
  }
  tunnels.startDraining();
  t.like(await dial(), { kind: "failed", failure: "unavailable" });
});

test("a VM that is stopping says whether the upstream refuses", async (t) => {
  const { dial, upstream, tunnels } = await deploy(t, echo);
  tunnels.startDraining();
  t.like(await dial(), { kind: "failed", failure: "unavailable" });
  await new Promise((resolve) => upstream.close(resolve));
  t.like(await dial(), { kind: "failed", failure: "refused" });
});

test("a VM that is partitioned itself doesn't say that the upstream refuses", async (t) => {
  const { dial, upstream, partition } = await deploy(t, echo);
  await new Promise((resolve) => upstream.close(resolve));
  t.like(await dial(), { kind: "failed", failure: "refused" });
  partition();
  t.like(await dial(), { kind: "failed", failure: "unavailable" });
});

test("the tunnels of a VM that is lost are closed", async (t) => {
  const upstreamSockets: Socket[] = [];
  const { connect, tunnels } = await deploy(t, (socket) => {
    echo(socket);
    upstreamSockets.push(socket);
  });
  await connect();
  tunnels.closeTunnelsOf("vm-2");
  t.is(tunnels.count(), 1);
  tunnels.closeTunnelsOf("vm-1");
  await until(() => upstreamSockets[0]!.destroyed && tunnels.count() === 0);
});

test("a VM is lost once it has had no link for some seconds", async (t) => {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock);
  const join = (vm: string) =>
    network.join({ vm, incarnation: "1", dataCentre: "north" });
  const links = join("vm-1");
  const lost: string[] = [];
  watchLostVms({ clock, links, onLost: (vm) => void lost.push(vm) });
  join("vm-2");
  join("vm-3");
  await clock.advance(10_000);
  network.setCut("vm-2", "vm-1", true);
  network.setCut("vm-1", "vm-2", true);
  network.remove("vm-3");
  await clock.advance(2_000);
  network.setCut("vm-2", "vm-1", false);
  network.setCut("vm-1", "vm-2", false);
  await clock.advance(10_000);
  t.deepEqual(lost, ["vm-3"]);
});

for (const address of ODD_ADDRESSES) {
  test(`a connection to ${address} fails and throws nothing`, async (t) => {
    const result = await new Promise<DialResult>((resolve) => {
      const openSocket = openTcpSocket;
      dialDirectly({ clock, openSocket, address, timeout: 1_000 }, resolve);
    });
    t.is(result.kind, "failed");
  });

  test(`a request for a tunnel to ${address} doesn't end the VM that is asked`, async (t) => {
    const { dial } = await deploy(t, echo, { mayConnect: () => true });
    t.is((await dial({ address })).kind, "failed");
    t.is((await dial()).kind, "connected");
  });
}
