import type { Socket } from "node:net";
import test from "ava";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { buildConfiguration } from "../../stand_ins/platform/request_phases.ts";
import {
  formatRefusal,
  type ReceivedRequest,
} from "../../stand_ins/platform/scripted_upstream.ts";

/// Several entries with one address, as after an upstream has started again there
/// with a new id. They share the connections that are kept.

const IDS = ["u1", "u2", "u3"];

interface Case {
  readonly service: string;
  readonly path: string;
  /// Status of the refusal, and of its late copy.
  readonly status: number;
}

const CASES: readonly Case[] = [
  { service: "desk", path: "/once/2f", status: 503 },
  { service: "desk", path: "/once/2f", status: 421 },
  { service: "flows", path: "/flow/2f", status: 503 },
  { service: "flows", path: "/flow/2f", status: 421 },
];

const attemptIdOf = ({ headers }: ReceivedRequest) =>
  String(headers["x-attempt-id"]);

for (const { service, path, status } of CASES) {
  test(`a late copy of a ${status} to ${path} isn't taken for a refusal by another id of its address`, async (t) => {
    const configuration = buildConfiguration(1);
    const deployment = await startPlatformDeployment({ configuration });
    t.teardown(deployment.close);
    const refused = new Set<Socket>();
    let executions = 0;
    const upstream = await deployment.addUpstream(service, IDS[0]!, (one) => {
      if (refused.size === 0) {
        refused.add(one.connection);
        return { kind: "refuse", status };
      }
      executions += 1;
      const strayBytes = refused.has(one.connection)
        ? formatRefusal(attemptIdOf(one)).replace("503", `${status}`)
        : undefined;
      return service === "flows"
        ? { kind: "stream", to: 2, strayBytes }
        : { kind: "answer", body: "done", strayBytes };
    });
    for (const id of IDS.slice(1)) {
      deployment.store.put(`servers/${id}`, upstream.entry(service));
    }
    await until(() => isConnected(deployment, IDS.length));
    const { status: received } = await deployment.send({ path, body: "order" });
    t.deepEqual({ received, executions }, { received: 200, executions: 1 });
  });
}
