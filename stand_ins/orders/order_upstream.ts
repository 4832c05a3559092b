import { appendFileSync } from "node:fs";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { createSeededRandom, randomInteger } from "../../src/support/random.ts";
import type { OrderExecution } from "./order_records.ts";
import { exitWithParent } from "./stand_in_child.ts";

/// Program of an upstream that executes orders in slots, with a short queue. It
/// records each execution before it begins, so that its end loses none.

export interface OrderUpstreamSettings {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  /// File of executions.
  readonly file: string;
  /// File of everything else that it does.
  readonly log: string;
  readonly seed: number;
  readonly slots: number;
  readonly queue: number;
  readonly copies: Copies;
}

/// Which answers and refusals it writes once more on a kept connection: all, only
/// with the id of their request, or none.
export type Copies = "all" | "with_id" | "none";

exitWithParent();
const settings = JSON.parse(process.argv[2]!) as OrderUpstreamSettings;
const random = createSeededRandom(settings.seed);

const SHORTEST_WORK_MILLISECONDS = 5;
const LONGEST_WORK_MILLISECONDS = 300;
const LONGEST_DELAY_OF_COPY_MILLISECONDS = 60;
const REFUSAL_STATUSES = [503, 503, 503, 429] as const;

/// Ratios of requests, or of what the comments say, that it handles in unusual
/// ways.
const RATIOS = {
  refused: 0.06,
  /// Of refusals.
  refusedWithoutId: 0.5,
  refusalCopied: 0.4,
  connectionClosed: 0.06,
  /// Executed, but without an answer.
  answerLost: 0.03,
  answerTruncated: 0.02,
  neverAnswered: 0.01,
  answerCopied: 0.05,
  strayRefusal: 0.03,
  failed: 0.01,
  /// Of answers: the connection is closed sooner than stated.
  closedWhileIdle: 0.2,
  /// Of new connections.
  reset: 0.01,
} as const;

const happens = (name: keyof typeof RATIOS) => random.next() < RATIOS[name];

const log = (event: string, attempt: string, detail: string | number = "") =>
  appendFileSync(
    settings.log,
    `${Date.now()} ${settings.id} ${event} ${attempt} ${detail}\n`,
  );

/// Requests that wait for a slot.
const waiting: (() => void)[] = [];
let running = 0;
/// Id of the last request of a connection.
const lastIds = new WeakMap<Socket, string>();

function formatAnswer(
  status: string,
  fields: readonly string[],
  body = "",
): string {
  return [
    `HTTP/1.1 ${status}`,
    ...fields,
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}

function writeLater(socket: Socket, text: string, attempt: string) {
  if (settings.copies === "none") return;
  const delay = randomInteger(random, LONGEST_DELAY_OF_COPY_MILLISECONDS);
  setTimeout(() => {
    if (!socket.writable) return;
    log("extra", attempt, text.split("\r\n", 1)[0]);
    socket.write(text);
  }, delay);
}

/// A copy of the refusal of the request `id`.
function copyRefusal(id: string, hasId: boolean): string {
  const isLeftOut = !hasId && settings.copies === "all";
  const fields = isLeftOut ? [] : [`X-Attempt-Id: ${id}`];
  return formatAnswer("503 Service Unavailable", [
    "X-Not-Executed: 1",
    ...fields,
  ]);
}

function refuse(response: ServerResponse, attempt: string, status: number) {
  const hasId = !happens("refusedWithoutId");
  if (hasId) response.setHeader("X-Attempt-Id", attempt);
  response.setHeader("X-Not-Executed", "1");
  if (happens("connectionClosed")) response.setHeader("Connection", "close");
  log("refused", attempt, `${status} ${hasId ? "with" : "without"} id`);
  const { socket } = response;
  response.writeHead(status).end();
  if (!socket) return;
  lastIds.set(socket, attempt);
  if (!happens("refusalCopied")) return;
  writeLater(socket, copyRefusal(attempt, hasId), attempt);
}

/// Writes the answer to an executed request. Returns false if it breaks off.
function writeAnswer(
  response: ServerResponse,
  { body, isStream }: { body: string; isStream: boolean },
): boolean {
  const isCutOff = happens("answerTruncated");
  if (isStream) {
    response.writeHead(200, { "Content-Type": "text/event-stream" });
    response.write(`id: 1\ndata: ${body}\n\nid: 2\n`);
    if (!isCutOff) response.end("data: end\n\n");
  } else if (isCutOff) {
    response.writeHead(200, { "Content-Length": body.length + 9 });
    response.write(body);
  } else response.writeHead(happens("failed") ? 500 : 200).end(body);
  if (isCutOff) response.socket?.resetAndDestroy();
  return !isCutOff;
}

function answer(
  response: ServerResponse,
  { attempt, body, isStream }: {
    attempt: string;
    body: string;
    isStream: boolean;
  },
) {
  const { socket } = response;
  if (!socket || happens("neverAnswered")) return;
  if (happens("answerLost")) return void socket.resetAndDestroy();
  const lastId = lastIds.get(socket);
  lastIds.set(socket, attempt);
  const hasStray = settings.copies !== "none" && happens("strayRefusal");
  // Such bytes follow an earlier answer of the connection.
  if (lastId !== undefined && hasStray) {
    log("stray", attempt, lastId);
    socket.write(copyRefusal(lastId, random.next() < 0.5));
  }
  const signature = `signed by ${settings.id}`;
  response.setHeader("X-Attempt-Id", attempt);
  response.setHeader("X-Response-Signature", signature);
  if (happens("connectionClosed")) response.setHeader("Connection", "close");
  if (!writeAnswer(response, { body, isStream })) return;
  log("answered", attempt);
  if (happens("answerCopied")) {
    const fields = [
      `X-Attempt-Id: ${attempt}`,
      `X-Response-Signature: ${signature}`,
    ];
    writeLater(socket, formatAnswer("200 OK", fields, body), attempt);
  }
  if (!happens("closedWhileIdle")) return;
  const { bytesRead } = socket;
  setTimeout(() => {
    if (socket.bytesRead === bytesRead) socket.end();
  }, 20 + randomInteger(random, 400));
}

function execute(
  response: ServerResponse,
  { message, attempt, body }: {
    message: IncomingMessage;
    attempt: string;
    body: string;
  },
) {
  const { order } = JSON.parse(body) as { order: string };
  const execution: OrderExecution = {
    attempt,
    order,
    target: message.url!,
    upstream: settings.id,
    service: settings.service,
    at: Date.now(),
  };
  appendFileSync(settings.file, `${JSON.stringify(execution)}\n`);
  running += 1;
  const work = SHORTEST_WORK_MILLISECONDS +
    randomInteger(random, LONGEST_WORK_MILLISECONDS);
  setTimeout(() => {
    running -= 1;
    const isStream = message.url!.startsWith("/tell/");
    answer(response, { attempt, body: `done ${order}`, isStream });
    startWaiting();
  }, work);
}

function startWaiting() {
  while (running < settings.slots && waiting.length > 0) waiting.shift()!();
}

async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

async function handle(message: IncomingMessage, response: ServerResponse) {
  const { headers } = message;
  const attempt = String(headers["x-attempt-id"]);
  const endsAt = performance.now() + Number(headers["x-deadline-ms"]);
  log("received", attempt, headers["x-expected-instance"] as string);
  response.setHeader("X-Instance-Id", settings.id);
  if (headers["x-expected-instance"] !== settings.id) {
    return refuse(response, attempt, 421);
  }
  const isFull = running >= settings.slots && waiting.length >= settings.queue;
  if (isFull || happens("refused")) {
    const number = randomInteger(random, REFUSAL_STATUSES.length);
    return refuse(response, attempt, REFUSAL_STATUSES[number]!);
  }
  const body = await readBody(message);
  waiting.push(() => {
    if (message.socket.destroyed) return log("dropped", attempt);
    if (performance.now() > endsAt) return refuse(response, attempt, 503);
    execute(response, { message, attempt, body });
  });
  startWaiting();
}

const server = createServer((message, response) => {
  handle(message, response).catch((error: Error) => {
    log("failed", String(message.headers["x-attempt-id"]), error.message);
    response.destroy();
  });
});
server.on("connection", (socket: Socket) => {
  socket.on("error", () => {
    // A gateway was killed, or a fault reset the connection.
  });
  if (happens("reset")) socket.resetAndDestroy();
});
process.on("SIGTERM", () => {
  log("stopping", "");
  server.close();
  setInterval(() => {
    if (running === 0 && waiting.length === 0) process.exit();
  }, 20);
});
server.listen(settings.port, settings.host, () => console.log("listening"));
