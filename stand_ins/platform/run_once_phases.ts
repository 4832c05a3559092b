import type { CallerConnection } from "./caller_connection.ts";
import { type Arrival, formatRefusalOf } from "./counting_upstream.ts";

/// Phases in the life of a request that may run at most once.

/// Handles the arrival of a request; `earlier` is how often it has arrived before.
export type Act = (
  arrival: Arrival,
  options: { readonly earlier: number; readonly released: Promise<void> },
) => void;

export interface RunOncePhase {
  readonly title: string;
  /// What the service's upstreams do.
  readonly act: Act;
  /// How much of the request the caller sends at first; all by default.
  readonly sent?: number;
  /// Whether the caller sends it behind another request, which is held.
  readonly isBehindOther?: boolean;
  /// Whether the upstreams don't read at first.
  readonly isUnread?: boolean;
  /// Whether the engines of the service are busy with other requests.
  readonly isQueued?: boolean;
  /// Whether the upstreams have used up a limit that they state.
  readonly isLimited?: boolean;
  /// Whether the caller reads nothing at first.
  readonly readsLate?: boolean;
  /// What the caller does once the upstreams are released.
  readonly finish?: (connection: CallerConnection) => void;
}

/// Path of the requests that are held, whatever the phase.
export const HELD = "held";
/// What upstreams that are to be limited state.
const LIMIT = "Server-Limit: 1";
/// More than the buffers of a connection hold.
const LONG_BODY = "x".repeat(1_900_000);
/// Delay of refusals: about the time in which the fault begins.
const REFUSAL_DELAY_MILLISECONDS = 350;
const REFUSAL_COUNT = 2;

interface AnswerFormat {
  readonly lines?: readonly string[];
  readonly body?: string;
  readonly isFramed?: boolean;
}

function formatAnswer(
  { attempt, target, upstream }: Arrival,
  { lines = [], body = "data: one\n\n", isFramed = true }: AnswerFormat = {},
): string {
  const isStream = target.startsWith("/stream");
  return [
    "HTTP/1.1 200 OK",
    `X-Attempt-Id: ${attempt}`,
    `X-Response-Signature: signed by ${upstream}`,
    ...(isStream ? ["Content-Type: text/event-stream"] : []),
    isFramed ? `Content-Length: ${body.length}` : "Connection: close",
    ...lines,
    "",
    body,
  ].join("\r\n");
}

const run = (arrival: Arrival, format?: AnswerFormat): string => {
  arrival.wasExecuted = true;
  return formatAnswer(arrival, format);
};

const answer = (format?: AnswerFormat): Act => (arrival) =>
  arrival.write(run(arrival, format));

/// Writes the text up to `end`, and the rest when released.
const writeInParts = (
  arrival: Arrival,
  { text, end, released }: {
    readonly text: string;
    readonly end: number;
    readonly released: Promise<void>;
  },
) => {
  arrival.write(text.slice(0, end));
  return released.then(() => arrival.write(text.slice(end)));
};

const answerInParts = (end: number): Act => (arrival, { released }) =>
  void writeInParts(arrival, { text: run(arrival), end, released });

const hold = answerInParts(0);

const answerUnframed = (end: number): Act => (arrival, { released }) => {
  const text = run(arrival, { isFramed: false });
  void writeInParts(arrival, { text, end, released })
    .then(() => arrival.socket.end());
};

interface RefusalFormat {
  readonly status: number;
  readonly hasId: boolean;
}

/// Refuses a request when it arrives first, and runs it when it arrives again.
const refuseFirst =
  (refuse: (arrival: Arrival, released: Promise<void>) => void): Act =>
  (arrival, { earlier, released }) => {
    if (earlier > 0) return arrival.write(run(arrival));
    refuse(arrival, released);
  };

const refuseInParts = (format: RefusalFormat, end: number): Act =>
  refuseFirst((arrival, released) => {
    const text = formatRefusalOf(arrival, format);
    void writeInParts(arrival, { text, end, released });
  });

/// The copy follows after the delay, on the same connection.
const refuseWithCopy = (format: RefusalFormat, delay: number): Act =>
  refuseFirst((arrival) => {
    const text = formatRefusalOf(arrival, format);
    arrival.write(text);
    setTimeout(() => arrival.write(text), delay);
  });

const refuseLate: Act = (arrival, { earlier }) => {
  if (earlier >= REFUSAL_COUNT) return arrival.write(run(arrival));
  const text = formatRefusalOf(arrival, { status: 503, hasId: true });
  setTimeout(() => arrival.write(text), REFUSAL_DELAY_MILLISECONDS);
};

const REFUSALS: readonly RefusalFormat[] = [503, 421].flatMap((status) =>
  [true, false].map((hasId) => ({ status, hasId }))
);
const describe = ({ status, hasId }: RefusalFormat) =>
  `${status} ${hasId ? "with" : "without"} an id`;

/// The phases. Positions count from the start of the bytes, or back from their
/// end if negative.
export const RUN_ONCE_PHASES: readonly RunOncePhase[] = [
  { title: "nothing sent", sent: 0, act: answer() },
  { title: "head partly sent", sent: 60, act: answer() },
  { title: "body partly sent", sent: -3, act: answer() },
  { title: "pipelined", isBehindOther: true, act: answer() },
  {
    title: "head partly sent behind another",
    isBehindOther: true,
    sent: 60,
    act: answer(),
  },
  {
    title: "waiting for a permit",
    isLimited: true,
    act: answer({ lines: [LIMIT] }),
  },
  { title: "waiting for a slot", isQueued: true, act: answer() },
  { title: "waiting for a retry", act: refuseLate },
  { title: "not read by the upstream", isUnread: true, act: answer() },
  { title: "running", act: hold },
  { title: "within the head of the response", act: answerInParts(25) },
  { title: "within the response", act: answerInParts(-4) },
  { title: "within a response without a length", act: answerUnframed(-4) },
  {
    title: "at the end of a response without a length",
    act: answerUnframed(Infinity),
  },
  {
    title: "a response that is read late",
    readsLate: true,
    act: answer({ body: LONG_BODY }),
  },
  ...REFUSALS.flatMap((format) => [
    {
      title: `within the head of a ${describe(format)}`,
      act: refuseInParts(format, 30),
    },
    {
      title: `within the body of a ${describe(format)}`,
      act: refuseInParts(format, -1),
    },
    {
      title: `a ${describe(format)} that is repeated`,
      act: refuseWithCopy(format, 0),
    },
    {
      title: `a ${describe(format)} that is repeated late`,
      act: refuseWithCopy(format, 80),
    },
  ]),
  {
    title: "caller that closes one direction",
    act: hold,
    finish: ({ socket }) => void socket.end(),
  },
  {
    title: "caller that resets",
    act: hold,
    finish: ({ socket }) => void socket.resetAndDestroy(),
  },
  {
    title: "caller that sends other bytes",
    act: hold,
    finish: ({ send }) => send("other\r\n\r\n"),
  },
];

/// Holds the requests of its path, and leaves all others to `act`.
export function withHeld(act: Act): Act {
  return (arrival, options) =>
    (arrival.target.endsWith(HELD) ? hold : act)(arrival, options);
}
