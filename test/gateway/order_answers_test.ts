import type { Socket } from "node:net";
import test from "ava";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import {
  formatRefusal,
  type ReceivedRequest,
  type ScriptedUpstream,
} from "../../stand_ins/platform/scripted_upstream.ts";

/// Orders have no ID. They share the kept connections of requests, on which a late
/// copy of an earlier answer may arrive first.

const ENGINES = 3;
const PROMPTS = 8;

const idsOf = ({ orders }: ScriptedUpstream, operation: string) =>
  orders.flatMap(({ Operation, Id }) =>
    Operation === operation ? [String(Id)] : []
  );

test("a late copy of a refusal isn't taken for the answer to an order", async (t) => {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  /// Refusals of which the copies haven't arrived, by connection.
  const copies = new Map<Socket, string>();
  let strays = 0;
  const engines: ScriptedUpstream[] = [];
  for (let index = 0; index < ENGINES; index++) {
    let received = 0;
    const act = ({ headers, connection }: ReceivedRequest) => {
      if (received++ % 2 > 0) return { kind: "stream", to: 3 } as const;
      const id = String(headers["x-attempt-id"]);
      copies.set(connection, formatRefusal(id));
      return { kind: "refuse" } as const;
    };
    const strayBytes = (connection: Socket) => {
      const copy = copies.get(connection);
      copies.delete(connection);
      if (copy) strays += 1;
      return copy;
    };
    engines.push(
      await deployment.addUpstream("engines", `e${index}`, act, {
        strayBytes,
      }),
    );
  }
  await until(() => isConnected(deployment, ENGINES));
  for (let prompt = 0; prompt < PROMPTS; prompt++) {
    await deployment.send({
      path: "/ask/2f",
      headers: { "X-Token-Counts": "150000,50" },
      body: "a prompt",
    });
  }
  t.true(strays > 0);
  // Memory that nobody releases stays reserved for seconds.
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  for (const engine of engines) {
    const released = new Set(idsOf(engine, "release"));
    const kept = idsOf(engine, "reserve").filter((id) => !released.has(id));
    t.deepEqual(kept, []);
  }
});
