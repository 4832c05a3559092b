import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { threadId } from "node:worker_threads";
import type { Milliseconds } from "../../src/support/clock.ts";

/// Stand-in for an upstream of the platform. It responds to each request as a
/// script decides, and records the requests.

export interface ReceivedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly connection: Socket;
  /// Whether the client closed the connection before the end of the response.
  wasAborted: boolean;
  /// Whether it was executed rather than refused.
  wasExecuted: boolean;
  readonly receivedAt: Milliseconds;
}

/// How an upstream responds to a request.
export type UpstreamAction =
  | {
    readonly kind: "answer";
    readonly status?: number;
    readonly body: string;
    /// Time that the request runs.
    readonly workMilliseconds?: number;
    /// Bytes that it writes before this response.
    readonly strayBytes?: string | undefined;
  }
  /// Events numbered `from` to `to`; the connection is reset after the event
  /// `resetAfter`.
  | {
    readonly kind: "stream";
    readonly from?: number;
    readonly to: number;
    readonly resetAfter?: number;
    /// The process ends after this event.
    readonly crashAfter?: number;
    readonly pauseMilliseconds?: number;
    /// A single longer pause, after the event `after`; 0 is before the first.
    readonly silence?: {
      readonly after: number;
      readonly milliseconds: Milliseconds;
    };
    readonly formatEvent?: (event: number) => string;
    readonly strayBytes?: string | undefined;
  }
  | { readonly kind: "refuse"; readonly status?: number }
  | { readonly kind: "reset" }
  | { readonly kind: "silence" }
  /// A response without a length, ended by the close of its connection.
  | { readonly kind: "answer_unframed"; readonly body: string }
  /// A response without a length that is truncated by a crash of the upstream.
  | {
    readonly kind: "crash_unframed";
    readonly contentType?: string;
    readonly body: string;
  }
  /// The process ends, and with it its listener and all of its connections.
  | { readonly kind: "crash" }
  /// Whatever `write` writes to the connection. `head` returns the head of a
  /// response to this request, without the blank line after it.
  | {
    readonly kind: "raw";
    readonly write: (
      socket: Socket,
      head: (fields?: readonly string[]) => string,
    ) => void;
  }
  /// A complete response with the attempt id of another request.
  | { readonly kind: "foreign"; readonly body: string };

export interface ScriptedUpstreamOptions {
  readonly id: string;
  /// Delay of the response to its first order.
  readonly firstOrderDelayMilliseconds?: number;
  /// Whether an order gets lost now, so that it gets no response.
  readonly losesOrder?: () => boolean;
  /// Bytes that it writes before its response to an order on a connection.
  readonly strayBytes?: (connection: Socket) => string | undefined;
  /// Requests per second that its responses state as its limit.
  readonly requestLimit?: () => number | undefined;
  /// State of the reservations that its reports list.
  readonly ticketState?: () => "held" | "used";
  /// Further header fields of its responses.
  readonly headers?: () => Readonly<Record<string, string>>;
  readonly act: (request: ReceivedRequest) => UpstreamAction;
}

export interface ScriptedUpstream {
  readonly id: string;
  readonly address: string;
  readonly requests: readonly ReceivedRequest[];
  /// Bodies of the orders that it received.
  readonly orders: readonly Record<string, unknown>[];
  /// The entry under which the store lists it, with the number of this write.
  entry(
    service: string,
    state?: "ready" | "draining",
    sequence?: number,
  ): object;
  /// Closes all connections immediately, as a crash does.
  close(): void;
}

let nextHost = 0;

/// Returns a loopback address of its own for each upstream: the port of one that
/// has crashed could soon belong to a server of another test.
function chooseHost(): string {
  const number = nextHost++;
  return `127.${1 + process.pid % 250}.${threadId % 250}.${1 + number % 250}`;
}

/// The bytes of a refusal of the request `id`; without an id if undefined.
export function formatRefusal(id: string | undefined): string {
  return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
    (id === undefined ? "" : `X-Attempt-Id: ${id}\r\n`) +
    "Content-Length: 0\r\n\r\n";
}

const wait = (milliseconds: Milliseconds) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

const defaultEvent = (id: number) => `id: ${id}\ndata: piece ${id}\n\n`;

export async function startScriptedUpstream(
  options: ScriptedUpstreamOptions,
): Promise<ScriptedUpstream> {
  const { id, act, headers, requestLimit } = options;
  const { firstOrderDelayMilliseconds = 0 } = options;
  const requests: ReceivedRequest[] = [];
  const orders: Record<string, unknown>[] = [];
  const connections = new Set<Socket>();

  const crash = () => {
    server.close();
    for (const connection of connections) connection.destroy();
  };

  const stream = async (
    action: UpstreamAction & { kind: "stream" },
    request: ReceivedRequest,
    response: ServerResponse,
  ) => {
    const { from = 1, to, resetAfter, crashAfter, silence } = action;
    const { pauseMilliseconds = 1 } = action;
    if (silence?.after === 0) await wait(silence.milliseconds);
    response.writeHead(200, { "Content-Type": "text/event-stream" });
    const formatEvent = action.formatEvent ?? defaultEvent;
    for (let event = from; event <= to; event++) {
      if (request.wasAborted) return;
      response.write(formatEvent(event));
      await wait(
        event === silence?.after ? silence.milliseconds : pauseMilliseconds,
      );
      if (event === resetAfter) return response.socket?.resetAndDestroy();
      if (event === crashAfter) return crash();
    }
    response.end();
  };

  const respond = async (
    request: ReceivedRequest,
    response: ServerResponse,
  ) => {
    const action = act(request);
    if ("strayBytes" in action && action.strayBytes) {
      request.connection.write(action.strayBytes);
    }
    const attempt = String(request.headers["x-attempt-id"]);
    const hasOtherAttemptId = action.kind === "foreign";
    response.setHeader("X-Attempt-Id", hasOtherAttemptId ? "another" : attempt);
    response.setHeader("X-Instance-Load", "1,0,6");
    const limit = requestLimit?.();
    if (limit !== undefined) response.setHeader("Server-Limit", String(limit));
    for (const [name, value] of Object.entries(headers?.() ?? {})) {
      response.setHeader(name, value);
    }
    if (action.kind === "refuse") {
      response.setHeader("X-Not-Executed", "1");
      return response.writeHead(action.status ?? 503).end();
    }
    request.wasExecuted = true;
    response.setHeader("X-Response-Signature", `signed by ${id}`);
    switch (action.kind) {
      case "answer":
      case "foreign": {
        const { status, workMilliseconds: work } = action.kind === "answer"
          ? action
          : {};
        if (work) await new Promise((resolve) => setTimeout(resolve, work));
        return response.writeHead(status ?? 200).end(action.body);
      }
      case "stream":
        return await stream(action, request, response);
      case "reset":
        return response.socket?.resetAndDestroy();
      case "silence":
        return;
      case "crash":
        return crash();
      case "raw":
        if (!response.socket) return;
        return action.write(response.socket, (fields = []) =>
          [
            "HTTP/1.1 200 OK",
            `X-Attempt-Id: ${attempt}`,
            `X-Response-Signature: signed by ${id}`,
            ...fields,
            "",
          ].join("\r\n"));
      case "answer_unframed":
      case "crash_unframed": {
        const socket = response.socket!;
        const contentType = action.kind === "crash_unframed"
          ? action.contentType
          : undefined;
        socket.write(
          `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attempt}\r\n` +
            `X-Response-Signature: signed by ${id}\r\n` +
            (contentType ? `Content-Type: ${contentType}\r\n` : "") +
            `Connection: close\r\n\r\n${action.body}`,
        );
        if (action.kind === "answer_unframed") return socket.end();
        server.close();
        for (const other of connections) other.end();
      }
    }
  };

  const handle = async (message: IncomingMessage, response: ServerResponse) => {
    const chunks: Buffer[] = [];
    for await (const chunk of message) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks).toString("utf8");
    if (message.url === "/sequoiaturn/order") {
      if (options.losesOrder?.()) return;
      const order = JSON.parse(body) as Record<string, unknown>;
      orders.push({ ...order, receivedAt: performance.now() });
      message.socket.write(options.strayBytes?.(message.socket) ?? "");
      const delay = orders.length === 1 ? firstOrderDelayMilliseconds : 0;
      await new Promise((resolve) => setTimeout(resolve, delay));
      return response.writeHead(200).end("{}");
    }
    if (message.url === "/healthz") {
      return response.writeHead(200, { "X-Instance-Id": id }).end();
    }
    if (message.url === "/sequoiaturn/report") {
      const State = options.ticketState?.() ?? "used";
      const Tickets = orders.map(({ Id }) => ({ Id, State }));
      return response.writeHead(200).end(JSON.stringify({ Tickets }));
    }
    const request: ReceivedRequest = {
      method: message.method!,
      target: message.url!,
      headers: message.headers,
      body,
      connection: message.socket,
      wasAborted: false,
      wasExecuted: false,
      receivedAt: performance.now(),
    };
    response.on("close", () => {
      if (!response.writableFinished) request.wasAborted = true;
    });
    requests.push(request);
    await respond(request, response);
  };

  const host = chooseHost();
  const server = createServer((message, response) => {
    handle(message, response).catch(() => response.destroy());
  });
  server.on("connection", (socket: Socket) => {
    connections.add(socket);
    socket.on("close", () => connections.delete(socket));
    socket.on("error", () => {
      // Tests make the peer reset the connection.
    });
  });
  await new Promise<void>((resolve) => server.listen(0, host, () => resolve()));
  const { port } = server.address() as AddressInfo;
  const address = `${host}:${port}`;
  return {
    id,
    address,
    requests,
    orders,
    entry: (service, state = "ready", sequence = 1) => ({
      Service: service,
      Address: address,
      Zone: "north",
      Slots: 4,
      State: state,
      Seq: sequence,
      born: 1_700_000_000_000,
    }),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
