import { appendFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import {
  createSeededRandom,
  randomInteger,
  type RandomSource,
} from "../../src/support/random.ts";
import { API_KEY, HOST } from "../platform/platform_deployment.ts";
import {
  type AttemptEnd,
  mayAskAgain,
  type OrderAttempt,
} from "./order_records.ts";
import { exitWithParent } from "./stand_in_child.ts";

/// Program of callers that send orders, over new and over kept connections, at
/// once or in segments. Each order is asked for again once, at another gateway, if
/// its first attempt certainly didn't run.

/// An address of a gateway.
export interface CallerGateway {
  readonly vm: string;
  readonly address: string;
  readonly isProxied: boolean;
}

export interface OrderCallerSettings {
  readonly name: string;
  readonly seed: number;
  readonly file: string;
  readonly gateways: readonly CallerGateway[];
  readonly targets: readonly string[];
  readonly callers: number;
}

exitWithParent();
const settings = JSON.parse(process.argv[2]!) as OrderCallerSettings;

const MAXIMUM_KEPT_MILLISECONDS = 12_000;
const SHORTEST_DEADLINE_MILLISECONDS = 300;
const LONGEST_DEADLINE_MILLISECONDS = 2_700;
/// Time beyond the deadline after which a caller closes the connection.
const PATIENCE_MILLISECONDS = 400;
const LONG_BODY_CHARACTERS = 60_000;

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

interface Channel {
  readonly gateway: CallerGateway;
  readonly socket: Socket;
  /// Whether it has carried a request.
  isKept: boolean;
  usedAt: number;
}

interface Order {
  readonly name: string;
  readonly target: string;
  readonly isLong: boolean;
}

interface Answer {
  readonly end: AttemptEnd;
  readonly received: number;
  readonly status?: number;
  readonly answeredAttempt?: string | undefined;
  readonly closes?: boolean;
}

function openChannel(gateway: CallerGateway): Channel {
  const [host, port] = gateway.address.split(":");
  const socket = connect({ host: host!, port: Number(port), noDelay: true });
  socket.on("error", () => {
    // Read from `errored` by the attempt on it.
  });
  return { gateway, socket, isKept: false, usedAt: performance.now() };
}

/// Parses an answer; undefined while it is incomplete.
function parseAnswer(text: string): Answer | undefined {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const field = (name: string) =>
    new RegExp(`^${name}: *(.*?)\r?$`, "im").exec(head)?.[1];
  const size = headEnd + 4 + Number(field("content-length") ?? 0);
  const isChunked = field("transfer-encoding") !== undefined;
  const isWhole = isChunked
    ? text.endsWith("\r\n0\r\n\r\n")
    : text.length >= size;
  if (!isWhole) return undefined;
  return {
    end: "answered",
    status: Number(text.slice(9, 12)),
    received: text.length,
    answeredAttempt: field("x-attempt-id"),
    closes: field("connection")?.toLowerCase() === "close",
  };
}

function endOfSocket({ errored }: Socket): AttemptEnd {
  const { code } = (errored ?? {}) as NodeJS.ErrnoException;
  if (code === "ECONNREFUSED") return "refused";
  return code === "ECONNRESET" || code === "EPIPE" ? "reset" : "closed";
}

function receive(socket: Socket, patience: number): Promise<Answer> {
  return new Promise((resolve) => {
    let text = "";
    const settle = (answer: Answer) => {
      clearTimeout(timer);
      socket.off("data", onData);
      socket.off("close", onClose);
      resolve(answer);
    };
    const onData = (chunk: Buffer) => {
      text += chunk.toString("latin1");
      const answer = parseAnswer(text);
      if (answer) settle(answer);
    };
    const onClose = () =>
      settle({ end: endOfSocket(socket), received: text.length });
    const timer = setTimeout(
      () => settle({ end: "timed_out", received: text.length }),
      patience,
    );
    socket.on("data", onData);
    if (socket.destroyed) onClose();
    else socket.once("close", onClose);
  });
}

/// Writes a request at once or in segments, some of which split its head.
async function write(socket: Socket, text: string, random: RandomSource) {
  const segments = 1 + randomInteger(random, 6);
  if (segments > 3) return void socket.write(text);
  const head = text.indexOf("\r\n\r\n") + 4;
  const range = random.next() < 0.5 ? head : text.length;
  const cuts = Array.from(
    { length: segments },
    () => randomInteger(random, range),
  ).sort((left, right) => left - right);
  let from = 0;
  for (const cut of [...cuts, text.length]) {
    if (cut === from || !socket.writable) continue;
    socket.write(text.slice(from, cut));
    from = cut;
    await sleep(randomInteger(random, 60));
  }
}

async function runCaller(number: number) {
  const random = createSeededRandom(settings.seed * 1_000 + number);
  const pick = <Item>(items: readonly Item[]) =>
    items[randomInteger(random, items.length)]!;
  const kept = new Set<Channel>();

  const takeChannel = (gateways: readonly CallerGateway[]): Channel => {
    for (const channel of kept) {
      const isOld =
        performance.now() - channel.usedAt > MAXIMUM_KEPT_MILLISECONDS;
      if (isOld || !channel.socket.writable) {
        kept.delete(channel);
        channel.socket.destroy();
      }
    }
    const usable = [...kept].filter(({ gateway }) =>
      gateways.includes(gateway)
    );
    const channel = usable.length > 0 && random.next() < 0.7
      ? pick(usable)
      : openChannel(pick(gateways));
    kept.delete(channel);
    return channel;
  };

  const send = async (
    order: Order,
    attempt: string,
    channel: Channel,
  ): Promise<OrderAttempt> => {
    const { gateway, socket, isKept } = channel;
    const startedAt = Date.now();
    const deadline = SHORTEST_DEADLINE_MILLISECONDS +
      randomInteger(random, LONGEST_DEADLINE_MILLISECONDS);
    const filling = "x".repeat(order.isLong ? LONG_BODY_CHARACTERS : 4);
    const body = JSON.stringify({ order: order.name, filling });
    const leaves = random.next() < 0.03;
    const patience = leaves
      ? randomInteger(random, deadline)
      : deadline + PATIENCE_MILLISECONDS;
    const answered = receive(socket, patience);
    const request = [
      `POST ${order.target} HTTP/1.1`,
      `Host: ${HOST}`,
      `X-Attempt-Id: ${attempt}`,
      `X-Deadline-Ms: ${deadline}`,
      `Authorization: Token ${API_KEY}`,
      `Content-Length: ${body.length}`,
      "",
      body,
    ].join("\r\n");
    const written = write(socket, request, random);
    const { closes, ...answer } = await answered;
    await written;
    channel.isKept = true;
    channel.usedAt = performance.now();
    if (answer.end === "answered" && !closes) kept.add(channel);
    else socket.destroy();
    return {
      attempt,
      order: order.name,
      target: order.target,
      gateway: gateway.vm,
      isProxied: gateway.isProxied,
      isKept,
      startedAt,
      endedAt: Date.now(),
      ...answer,
      status: answer.status,
      answeredAttempt: answer.answeredAttempt,
      end: leaves && answer.end === "timed_out" ? "left" : answer.end,
    };
  };

  /// Sends an order, and once more at another gateway if it hasn't run.
  const run = async (order: Order) => {
    let gateways = settings.gateways;
    for (const number of [1, 2]) {
      const channel = takeChannel(gateways);
      const result = await send(order, `${order.name}.${number}`, channel);
      appendFileSync(settings.file, `${JSON.stringify(result)}\n`);
      if (!mayAskAgain(result)) return;
      gateways = settings.gateways.filter(({ vm }) => vm !== result.gateway);
      if (gateways.length === 0) return;
      await sleep(randomInteger(random, 100));
    }
  };

  for (let next = 1;; next++) {
    // Some connections are opened before there is a request for them.
    if (random.next() < 0.1) kept.add(openChannel(pick(settings.gateways)));
    await run({
      name: `${settings.name}-${number}-${next}`,
      target: pick(settings.targets),
      isLong: random.next() < 0.1,
    });
    await sleep(randomInteger(random, 60));
  }
}

for (let number = 0; number < settings.callers; number++) {
  void runCaller(number);
}
