import test from "ava";
import {
  type CallerResult,
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { UpstreamAction } from "../../stand_ins/platform/scripted_upstream.ts";

/// Sound upstreams that send nothing for more than a second and then go on.

const SILENCE_MILLISECONDS = 1_300;
const EVENTS = 6;

const streamWith = (silenceAfter: number | undefined): UpstreamAction => ({
  kind: "stream",
  to: EVENTS,
  silence: silenceAfter === undefined
    ? undefined
    : { after: silenceAfter, milliseconds: SILENCE_MILLISECONDS },
});

const lateAnswer: UpstreamAction = {
  kind: "raw",
  write: (socket, head) =>
    setTimeout(
      () => socket.write(`${head(["Content-Length: 4"])}\r\ndone`),
      SILENCE_MILLISECONDS,
    ),
};

const refusal: UpstreamAction = { kind: "refuse" };

const wholeStream = Array.from(
  { length: EVENTS },
  (_, index) => `id: ${index + 1}\ndata: piece ${index + 1}\n\n`,
).join("");

interface Case {
  readonly name: string;
  readonly path: "/ask/2f" | "/look/2f" | "/once/2f";
  /// Actions of the upstreams; the first one gets the request first.
  readonly actions: readonly UpstreamAction[];
  /// Retries that are left.
  readonly retryAllowance: number;
}

const cases: readonly Case[] = [
  {
    name: "in the middle of a stream, without retries that are left",
    path: "/ask/2f",
    actions: [streamWith(3), streamWith(3)],
    retryAllowance: 0,
  },
  {
    name: "before a stream's first event, without retries that are left",
    path: "/ask/2f",
    actions: [streamWith(0), streamWith(0)],
    retryAllowance: 0,
  },
  {
    name: "in the middle of a stream, without another upstream",
    path: "/ask/2f",
    actions: [streamWith(3)],
    retryAllowance: 100,
  },
  {
    name: "in the middle of a stream, when the other upstream refuses",
    path: "/ask/2f",
    actions: [streamWith(3), refusal],
    retryAllowance: 100,
  },
  {
    name: "in the middle of a stream, when the other upstream resets",
    path: "/ask/2f",
    actions: [streamWith(3), { kind: "reset" }],
    retryAllowance: 100,
  },
  {
    name: "in the middle of a stream, when the other one is silent for good",
    path: "/ask/2f",
    actions: [streamWith(3), { kind: "silence" }],
    retryAllowance: 100,
  },
  {
    name: "before a safe call's answer, without retries that are left",
    path: "/look/2f",
    actions: [lateAnswer, lateAnswer],
    retryAllowance: 0,
  },
  {
    name: "before a safe call's answer, when the other upstream refuses",
    path: "/look/2f",
    actions: [lateAnswer, refusal],
    retryAllowance: 100,
  },
  {
    name: "before the answer of a call that runs at most once",
    path: "/once/2f",
    actions: [lateAnswer, lateAnswer],
    retryAllowance: 100,
  },
];

async function play(
  { path, actions, retryAllowance }: Case,
): Promise<{ result: CallerResult; close: () => void }> {
  const deployment = await startPlatformDeployment({ retryAllowance });
  const service = path === "/ask/2f" ? "engines" : "desk";
  let arrivals = 0;
  // The first request takes the first action wherever it arrives.
  for (let index = 0; index < actions.length; index++) {
    await deployment.addUpstream(
      service,
      `u${index}`,
      (request) => {
        const action = actions[Math.min(arrivals++, actions.length - 1)]!;
        const last = request.headers["last-event-id"];
        return action.kind === "stream" && last !== undefined
          ? { ...action, from: Number(last) + 1 }
          : action;
      },
    );
  }
  await until(() => deployment.isReady());
  await until(() => isConnected(deployment, actions.length));
  const result = await deployment.send({
    path,
    headers: { "X-Deadline-Ms": "3000", "X-Token-Counts": "100,20" },
  });
  return { result, close: deployment.close };
}

for (const each of cases) {
  test(
    `a sound upstream's silence doesn't end a request: ${each.name}`,
    async (t) => {
      const { result, close } = await play(each);
      t.teardown(close);
      t.is(result.status, 200);
      t.true(result.isWhole);
      t.is(result.body, each.path === "/ask/2f" ? wholeStream : "done");
    },
  );
}
