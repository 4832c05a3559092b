import test from "ava";
import {
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";

test("memory whose reservation took too long is released, and placement decided again", async (t) => {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  const engines = await Promise.all(
    ["e1", "e2", "e3"].map((id) =>
      deployment.addUpstream(
        "engines",
        id,
        () => ({ kind: "stream", to: 3 }),
        { firstOrderDelayMilliseconds: 1_200 },
      )
    ),
  );
  await until(async () =>
    (await deployment.readMetrics())
      .includes("sequoiaturn_gateway_upstreams 3\n")
  );
  const result = await deployment.send({
    path: "/ask/2f",
    headers: { "X-Token-Counts": "150000,50", "X-Deadline-Ms": "8000" },
    body: "a prompt",
  });
  t.true(result.isWhole);
  const orders = engines.flatMap((engine) => engine.orders);
  const reserved = orders.filter(({ Operation }) => Operation === "reserve");
  const helpers = engines.flatMap((engine) => engine.requests)
    .map(({ headers }) => String(headers["x-helpers"])).join();
  const ids = [...new Set(reserved.map(({ Id }) => String(Id)))];
  t.true(ids.length >= 2);
  // The request names only reservations that were made for the new decision.
  t.false(helpers.includes(ids[0]!));
  t.true(helpers.includes(ids.at(-1)!));
});
