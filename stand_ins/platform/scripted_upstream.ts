import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";

/// Stand-in for a runner of the platform: answers as a script says and records
/// what it was sent.

export interface ReceivedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  /// Whether the caller closed the connection before the answer had ended.
  wasAborted: boolean;
  /// Whether it was worked on, rather than refused.
  wasExecuted: boolean;
}

/// What a runner does with a request.
export type UpstreamAction =
  | { readonly kind: "answer"; readonly status?: number; readonly body: string }
  /// Events `from` to `to`, numbered; the connection is reset behind `cutAt`.
  | {
    readonly kind: "stream";
    readonly from?: number;
    readonly to: number;
    readonly resetAfter?: number;
    readonly pauseMilliseconds?: number;
    readonly eventOf?: (event: number) => string;
  }
  | { readonly kind: "refuse"; readonly status?: number }
  | { readonly kind: "reset" }
  | { readonly kind: "silence" }
  /// An answer without length, ended by the end of its connection.
  | { readonly kind: "answer_unframed"; readonly body: string }
  /// Such an answer that the end of the process cuts short.
  | { readonly kind: "crash_unframed"; readonly body: string }
  /// A whole answer that bears the id of another request.
  | { readonly kind: "foreign"; readonly body: string };

export interface ScriptedUpstreamOptions {
  readonly id: string;
  readonly act: (request: ReceivedRequest) => UpstreamAction;
}

export interface ScriptedUpstream {
  readonly id: string;
  readonly address: string;
  readonly requests: readonly ReceivedRequest[];
  /// Bodies of the orders that it was given.
  readonly orders: readonly Record<string, unknown>[];
  /// The entry that it would write to the store.
  entry(service: string, state?: "ready" | "draining"): object;
  /// Ends at once, as a crash does.
  close(): void;
}

const eventOf = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

export async function startScriptedUpstream(
  { id, act }: ScriptedUpstreamOptions,
): Promise<ScriptedUpstream> {
  const requests: ReceivedRequest[] = [];
  const orders: Record<string, unknown>[] = [];
  const sockets = new Set<Socket>();

  const stream = async (
    action: UpstreamAction & { kind: "stream" },
    request: ReceivedRequest,
    response: ServerResponse,
  ) => {
    response.writeHead(200, { "Content-Type": "text/event-stream" });
    const { from = 1, to, resetAfter: cutAt, pauseMilliseconds = 1 } = action;
    const write = action.eventOf ?? eventOf;
    for (let event = from; event <= to; event++) {
      if (request.wasAborted) return;
      response.write(write(event));
      await new Promise((resolve) => setTimeout(resolve, pauseMilliseconds));
      if (event === cutAt) return response.socket?.resetAndDestroy();
    }
    response.end();
  };

  const perform = async (
    request: ReceivedRequest,
    response: ServerResponse,
  ) => {
    const action = act(request);
    const attempt = String(request.headers["x-attempt-id"]);
    const isForeign = action.kind === "foreign";
    response.setHeader("X-Attempt-Id", isForeign ? "another" : attempt);
    response.setHeader("X-Instance-Load", "1,0,6");
    if (action.kind === "refuse") {
      response.setHeader("X-Not-Executed", "1");
      return response.writeHead(action.status ?? 503).end();
    }
    request.wasExecuted = true;
    response.setHeader("X-Response-Signature", `signed by ${id}`);
    switch (action.kind) {
      case "answer":
      case "foreign": {
        const status = action.kind === "answer" ? action.status : 200;
        return response.writeHead(status ?? 200).end(action.body);
      }
      case "stream":
        return await stream(action, request, response);
      case "reset":
        return response.socket?.resetAndDestroy();
      case "silence":
        return;
      case "answer_unframed":
      case "crash_unframed": {
        const socket = response.socket!;
        socket.write(
          `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\n` +
            `X-Response-Signature: signed by ${id}\r\n` +
            `Connection: close\r\n\r\n${action.body}`,
        );
        if (action.kind === "answer_unframed") return socket.end();
        server.close();
        for (const other of sockets) other.end();
      }
    }
  };

  const handle = async (message: IncomingMessage, response: ServerResponse) => {
    const pieces: Buffer[] = [];
    for await (const piece of message) pieces.push(piece as Buffer);
    const body = Buffer.concat(pieces).toString("utf8");
    if (message.url === "/sequoiaturn/order") {
      orders.push(JSON.parse(body) as Record<string, unknown>);
      return response.writeHead(200).end("{}");
    }
    const request: ReceivedRequest = {
      method: message.method!,
      target: message.url!,
      headers: message.headers,
      body,
      wasAborted: false,
      wasExecuted: false,
    };
    response.on("close", () => {
      if (!response.writableFinished) request.wasAborted = true;
    });
    requests.push(request);
    await perform(request, response);
  };

  const server = createServer((message, response) => {
    handle(message, response).catch(() => response.destroy());
  });
  server.on("connection", (socket: Socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {
      // The other end reset the connection, as tests make it do.
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  return {
    id,
    address,
    requests,
    orders,
    entry: (service, state = "ready") => ({
      Service: service,
      Address: address,
      Zone: "north",
      Slots: 4,
      State: state,
      Seq: 1,
      born: 1_700_000_000_000,
    }),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
