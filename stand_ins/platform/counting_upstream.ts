import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { threadId } from "node:worker_threads";
import { until } from "./platform_deployment.ts";

/// Stand-in for an upstream that counts which requests it executes. It reads and
/// writes bytes, so that a response can stop anywhere.

/// A request that has arrived in full.
export interface Arrival {
  readonly attempt: string;
  readonly target: string;
  /// The id that the upstream had.
  readonly upstream: string;
  readonly socket: Socket;
  /// Whether the upstream has begun to work on it.
  wasExecuted: boolean;
  /// Writes to its connection, if that is open.
  write(text: string): void;
}

export interface CountingUpstream {
  readonly id: string;
  readonly arrivals: readonly Arrival[];
  /// Its entry in the store.
  entry(): object;
  /// Whether it reads from its connections.
  setReading(isReading: boolean): void;
  /// Resets its connections and stops listening, as a crash does.
  crash(): void;
  /// Starts again at the same address. Only its connections and id are lost.
  restart(id: string): Promise<void>;
  /// Resets its connections.
  reset(): void;
}

export interface CountingUpstreamOptions {
  readonly id: string;
  readonly service: string;
  readonly act: (arrival: Arrival) => void;
}

let nextHost = 0;

/// An address of its own for each upstream: no other server takes its port while
/// it restarts.
function chooseHost(): string {
  const number = nextHost++;
  return `127.${1 + process.pid % 250}.${threadId % 250}.${1 + number % 250}`;
}

const REFUSAL_LINES = ["X-Not-Executed: 1", "Content-Length: 2"];

/// The bytes of a refusal, with the id of the request unless `hasId` is false.
export function formatRefusalOf(
  { attempt }: Arrival,
  { status, hasId }: { readonly status: number; readonly hasId: boolean },
): string {
  const id = hasId ? [`X-Attempt-Id: ${attempt}`] : [];
  return [`HTTP/1.1 ${status} No`, ...id, ...REFUSAL_LINES, "", "no"]
    .join("\r\n");
}

/// Calls `onRequest` with the head of each request whose body is complete.
function readRequests(socket: Socket, onRequest: (head: string) => void) {
  let text = "";
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString("latin1");
    while (true) {
      const end = text.indexOf("\r\n\r\n");
      if (end < 0) return;
      const head = text.slice(0, end);
      const length = Number(fieldOf(head, "content-length") ?? 0);
      const next = end + 4 + length;
      if (text.length < next) return;
      text = text.slice(next);
      onRequest(head);
    }
  });
}

function fieldOf(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1]?.trim();
}

/// Starts an upstream of a service.
export async function startCountingUpstream(
  { id: firstId, service, act }: CountingUpstreamOptions,
): Promise<CountingUpstream> {
  let id = firstId;
  let isReading = true;
  let startedAt = 1_700_000_000_000;
  let server: Server | undefined;
  const arrivals: Arrival[] = [];
  const connections = new Set<Socket>();

  const receive = (socket: Socket, head: string) => {
    const arrival: Arrival = {
      attempt: fieldOf(head, "x-attempt-id") ?? "",
      target: head.split(" ")[1] ?? "",
      upstream: id,
      socket,
      wasExecuted: false,
      write: (text) => void (socket.writable && socket.write(text, "latin1")),
    };
    arrivals.push(arrival);
    if (fieldOf(head, "x-expected-instance") === id) return act(arrival);
    arrival.write(formatRefusalOf(arrival, { status: 421, hasId: true }));
  };

  const accept = (socket: Socket) => {
    connections.add(socket);
    socket.on("close", () => connections.delete(socket));
    socket.on("error", () => {
      // Tests make either end reset the connection.
    });
    readRequests(socket, (head) => receive(socket, head));
    if (!isReading) socket.pause();
  };

  const host = chooseHost();
  const listen = (port: number) =>
    new Promise<boolean>((resolve) => {
      server = createServer(accept);
      server.once("error", () => resolve(false));
      server.listen(port, host, () => resolve(true));
    });
  await listen(0);
  const { port } = server!.address() as AddressInfo;
  const reset = () => {
    for (const socket of connections) socket.resetAndDestroy();
  };

  const crash = () => {
    server?.close();
    server = undefined;
    reset();
  };

  return {
    get id() {
      return id;
    },
    arrivals,
    entry: () => ({
      Service: service,
      Address: `${host}:${port}`,
      Zone: "north",
      Slots: 4,
      State: "ready",
      Seq: 1,
      born: startedAt,
    }),
    setReading(value) {
      isReading = value;
      for (const socket of connections) {
        value ? socket.resume() : socket.pause();
      }
    },
    reset,
    crash,
    async restart(newId) {
      crash();
      id = newId;
      startedAt += 1_000;
      await until(() => listen(port));
    },
  };
}
