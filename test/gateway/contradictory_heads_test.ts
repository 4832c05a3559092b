import test from "ava";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { buildConfiguration } from "../../stand_ins/platform/request_phases.ts";
import { formatRefusal } from "../../stand_ins/platform/scripted_upstream.ts";

/// Upstreams that run a request and whose response merges with an extra one: the
/// first stops within its head, and the other one goes on in its place.

const BODY = "\r\ndone";
const FRAMED = ["Content-Length: 4"];

interface Case {
  readonly title: string;
  /// What an upstream writes that runs the request. `head` is that of its response.
  readonly write: (head: string) => string;
}

const CASES: readonly Case[] = [
  {
    title: "an answer, and a refusal of another request",
    write: (head) =>
      head.slice(0, head.indexOf("Content-Length") - 4) +
      formatRefusal("earlier"),
  },
  {
    title: "an answer, and a refusal without an id",
    write: (head) =>
      head.slice(0, head.indexOf("Content-Length") - 4) +
      formatRefusal(undefined),
  },
  {
    title: "a refusal without an id, and an answer",
    write: (head) => `HTTP/1.1 503 No\r\nX-Not-Executed: 1${head}${BODY}`,
  },
  {
    title: "the status line of a 421, and an answer",
    write: (head) => `HTTP/1.1 421 No${head}${BODY}`,
  },
  {
    title: "the status line of a 503, and an answer",
    write: (head) => `HTTP/1.1 503 No${head}${BODY}`,
  },
];

for (const { title, write } of CASES) {
  for (const [service, path] of [["desk", "/once/2f"], ["flows", "/flow/2f"]]) {
    test(`${path} runs once if its response merges of ${title}`, async (t) => {
      const configuration = buildConfiguration(1);
      const deployment = await startPlatformDeployment({ configuration });
      t.teardown(deployment.close);
      let executions = 0;
      for (const id of ["u1", "u2"]) {
        await deployment.addUpstream(service!, id, () => {
          executions += 1;
          if (executions > 1) return { kind: "answer", body: "done" };
          return {
            kind: "raw",
            write: (socket, head) => void socket.write(write(head(FRAMED))),
          };
        });
      }
      await until(() => isConnected(deployment, 2));
      const { status } = await deployment.send({ path: path!, body: "order" });
      t.deepEqual({ status, executions }, { status: 502, executions: 1 });
    });
  }
}
