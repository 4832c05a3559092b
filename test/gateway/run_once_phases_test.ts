import test from "ava";
import {
  buildRunOnceConfiguration,
  type RunOnceDeployment,
  startRunOnceDeployment,
} from "../../stand_ins/platform/run_once_deployment.ts";

/// Requests that may run at most once, in each phase of their life, at gateway
/// processes that are stopped or whose upstreams or configuration change.

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

interface Fault {
  readonly title: string;
  readonly apply: (deployment: RunOnceDeployment) => unknown;
}

/// Stops the process of the gateway that has the requests. Meanwhile `change`
/// happens, so that timers are due and bytes wait when it goes on.
async function pause(
  { gateways }: RunOnceDeployment,
  milliseconds: number,
  change: () => unknown = () => {},
) {
  gateways[0]!.signal("SIGSTOP");
  await sleep(milliseconds / 2);
  await change();
  await sleep(milliseconds / 2);
  gateways[0]!.signal("SIGCONT");
}

const restart = ({ upstreams, store }: RunOnceDeployment, suffix: string) =>
  Promise.all(upstreams.map(async (upstream) => {
    await upstream.restart(upstream.id + suffix);
    store.put(`servers/${upstream.id}`, upstream.entry());
  }));

const PAUSES: readonly Fault[] = [
  {
    title: "a pause of 0.2 s",
    apply: (all) => pause(all, 200, all.release),
  },
  {
    title: "a pause of 2.5 s",
    apply: (all) => pause(all, 2_500, all.release),
  },
  {
    title: "a pause beyond the deadline",
    apply: (all) => pause(all, 5_000, all.release),
  },
];

const UPSTREAM_FAULTS: readonly Fault[] = [
  {
    title: "resets of connections",
    apply: ({ upstreams }) => upstreams.forEach((each) => each.reset()),
  },
  {
    title: "a pause with crashes of upstreams",
    apply: (all) =>
      pause(all, 1_000, () => all.upstreams.forEach((each) => each.crash())),
  },
  {
    title: "starts of upstreams with another id",
    apply: (all) => restart(all, "-next"),
  },
  {
    title: "a pause with starts of upstreams",
    apply: (all) => pause(all, 1_000, () => restart(all, "")),
  },
];

const PLANNED_WORK: readonly Fault[] = [
  {
    title: "another kind of routes",
    async apply({ store }) {
      const overrides = { Kind: "safe" };
      store.put("op/config", buildRunOnceConfiguration(2, overrides));
      await sleep(300);
    },
  },
  {
    title: "a stop",
    async apply({ gateways }) {
      gateways[0]!.signal("SIGTERM");
      await sleep(400);
    },
  },
  {
    title: "a pause within a stop",
    async apply(all) {
      all.gateways[0]!.signal("SIGTERM");
      await pause(all, 3_000, all.release);
    },
  },
];

/// Brings requests into each phase, applies a fault, and resolves to what it broke.
async function findFaultsBeside({ title, apply }: Fault): Promise<string[]> {
  const closers: (() => void)[] = [];
  try {
    const teardown = (close: () => void) => void closers.unshift(close);
    const deployment = await startRunOnceDeployment({ teardown });
    await apply(deployment);
    deployment.release();
    const faults = await deployment.findFaults();
    return faults.map((fault) => `beside ${title}: ${fault}`);
  } finally {
    for (const close of closers) close();
  }
}

const GROUPS = {
  "pauses": PAUSES,
  "faults of upstreams": UPSTREAM_FAULTS,
  "planned work": PLANNED_WORK,
};

// One fault at a time in each group: processes that all start at once start late.
for (const [title, faults] of Object.entries(GROUPS)) {
  test(`no request runs twice, or runs and is refused, beside ${title}`, async (t) => {
    t.timeout(60_000);
    const found: string[] = [];
    for (const fault of faults) found.push(...await findFaultsBeside(fault));
    t.deepEqual(found, []);
  });
}
