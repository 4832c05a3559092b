import test from "ava";
import {
  countRecordedCrashes,
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { UpstreamAction } from "../../stand_ins/platform/scripted_upstream.ts";

/// Prompts with a part that crashes the engines that write an answer on it, at
/// several gateways. No two requests are alike; sound ones share the caller and
/// the first part.

const GATEWAYS = 3;
const ENGINES = 24;
const ROUNDS = 12;
const CRASHES_ALLOWED = 5;
const FIRST_PART = "f1";
const CRASHING_PART = "bad";

interface PartCase {
  readonly title: string;
  readonly action: UpstreamAction;
}

const CASES: readonly PartCase[] = [
  { title: "before the first event", action: { kind: "crash" } },
  {
    title: "after an event",
    action: { kind: "stream", to: 9, crashAfter: 1 },
  },
  {
    title: "in a stream without a length",
    action: {
      kind: "crash_unframed",
      contentType: "text/event-stream",
      body: "id: 1\ndata: piece 1\n\n",
    },
  },
];

for (const { title, action } of CASES) {
  test(`a part of prompts that crashes engines ${title} is refused by all VMs, and prompts without it are served`, async (t) => {
    const deployment = await startPlatformDeployment({ gateways: GATEWAYS });
    t.teardown(deployment.close);
    const hasCrashingPart = (header: string | string[] | undefined) =>
      String(header).includes(`${CRASHING_PART}:`);
    const engines = await Promise.all(
      Array.from({ length: ENGINES }, (_, index) =>
        deployment.addUpstream(
          "engines",
          `e${index}`,
          ({ headers }) =>
            hasCrashingPart(headers["x-prefix-hash"])
              ? action
              : { kind: "stream", to: 20, pauseMilliseconds: 5 },
        )),
    );
    await until(() => isConnected(deployment, ENGINES));
    let sent = 0;
    const send = (parts: readonly string[]) => {
      sent += 1;
      const prefix = [...parts, (0xabc000 + sent).toString(16)];
      return deployment.send({
        path: `/ask/${sent}`,
        gateway: sent % GATEWAYS,
        headers: {
          "X-Model": "m",
          "X-Token-Counts": "1460,80",
          "X-Prefix-Hash": prefix.map((id) => `${id}:200`).join(),
        },
        body: `prompt ${sent}`,
      });
    };
    const sendSound = () => send([FIRST_PART]);
    const sendCrashing = () => send([FIRST_PART, CRASHING_PART]);

    const findCrashed = () =>
      engines.filter(({ requests }) =>
        requests.some(({ headers, wasExecuted }) =>
          wasExecuted && hasCrashingPart(headers["x-prefix-hash"])
        )
      );

    let last;
    for (let round = 0; round < ROUNDS; round++) {
      const beside = sendSound();
      last = await sendCrashing();
      await beside;
      await until(async () => {
        const counts = await countRecordedCrashes(deployment);
        return new Set(counts).size === 1 && counts[0]! >= findCrashed().length;
      });
    }
    const crashed = findCrashed();
    t.true(
      crashed.length <= CRASHES_ALLOWED,
      `${crashed.length} engines crashed`,
    );
    t.is(last!.status, 503);

    for (const { id } of crashed) deployment.store.remove(`servers/${id}`);
    await until(() => isConnected(deployment, ENGINES - crashed.length));
    for (let count = 0; count < 2 * GATEWAYS; count++) {
      const result = await sendSound();
      t.is(result.status, 200);
      t.true(result.isWhole);
    }
  });
}
