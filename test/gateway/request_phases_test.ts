import test, { type ExecutionContext } from "ava";
import {
  type CallerAnswers,
  readAnswers,
} from "../../stand_ins/platform/caller_answers.ts";
import { formatPatientRequest } from "../../stand_ins/platform/caller_connection.ts";
import { until } from "../../stand_ins/platform/platform_deployment.ts";
import {
  buildConfiguration,
  GATEWAYS,
  type PhasedDeployment,
  type PhasedRequest,
  startPhasedDeployment,
} from "../../stand_ins/platform/request_phases.ts";

/// Requests in each phase of their life while the configuration or the upstreams
/// change, or the VM stops: each is answered once.

const sleep = (milliseconds: number) =>
  new Promise((resolve) => setTimeout(resolve, milliseconds));

type Phased = PhasedDeployment;

async function put(phased: Phased, version: number, overrides: object) {
  const { deployment } = phased;
  deployment.store.put("op/config", buildConfiguration(version, overrides));
  for (let gateway = 0; gateway < GATEWAYS; gateway++) {
    await until(async () =>
      (await deployment.readMetrics(gateway))
        .includes(`configuration_version ${version}\n`)
    );
  }
}

interface Change {
  readonly title: string;
  readonly apply: (phased: Phased) => Promise<unknown> | void;
  /// Whether the change ends requests whose head hasn't arrived.
  readonly endsHeads?: boolean;
}

const configured = (
  title: string,
  overrides: object,
  options: Partial<Change> = {},
): Change => ({
  title,
  apply: (phased) => put(phased, 2, overrides),
  ...options,
});

const { Routes, Services } = buildConfiguration(1);
const withRoutes = (overrides: object) => ({
  Routes: Routes.map((route) => ({ ...route, ...overrides })),
});
const engineOf = (service: object) =>
  "Engine" in service ? service.Engine as object : undefined;
const [engineProfile] = Services.map(engineOf);
const withEngines = (overrides: object) => ({
  Services: Services.map((service) =>
    engineOf(service)
      ? { ...service, Engine: { ...engineOf(service), ...overrides } }
      : service
  ),
});
const LIMITS = {
  MaxHeaderBytes: 16_384,
  MaxBodyBytes: 100_000,
  HeaderTimeoutMs: 3_000,
  IdleTimeoutMs: 15_000,
};
const limit = (name: keyof typeof LIMITS, value: number, endsHeads = false) =>
  configured(`${name} of ${value}`, {
    Limits: { ...LIMITS, [name]: value },
  }, { endsHeads });

const entries = (
  title: string,
  change: (
    upstream: Phased["upstreams"][number],
    store: Phased["deployment"]["store"],
  ) => void,
): Change => ({
  title,
  async apply({ deployment, upstreams }) {
    for (const upstream of upstreams) change(upstream, deployment.store);
    await sleep(300);
  },
});

const CHANGES: readonly Change[] = [
  configured("routes of another service", withRoutes({ Service: "flows" })),
  configured("no routes", { Routes: [] }),
  configured("no services", { Routes: [], Services: [] }),
  configured("raised timeouts", withRoutes({ TimeoutMs: 60_000 })),
  configured("lowered timeouts", withRoutes({ TimeoutMs: 1 })),
  configured("lowered objectives", withRoutes({ TargetLatencyMs: 1 })),
  configured("lowered pauses", withRoutes({ GapAimMs: 1 })),
  configured("another kind", withRoutes({ Kind: "safe" })),
  configured("another kind, streams", withRoutes({ Kind: "streaming" })),
  configured("no customers", { Tenants: [] }),
  configured("requests without keys", { Tenants: undefined }),
  configured("another key", {
    Tenants: [{ Name: "other", ApiKeys: ["other"] }],
  }),
  configured("fewer slots", withEngines({ Slots: 1 })),
  configured("less memory", withEngines({ KvCapacityTokens: 10 })),
  configured("services without engines", {
    Services: Services.map(({ Name }) => ({ Name, MaxConnections: 1 })),
  }),
  configured("services that are all engines", {
    Services: Services.map((service) => ({
      ...service,
      Engine: engineProfile,
    })),
  }),
  configured("800 further routes", {
    Routes: [
      ...Routes,
      ...Array.from({ length: 800 }, (_, index) => ({
        ...Routes[0],
        Name: `more-${index}`,
        Prefix: `/more-${index}/`,
      })),
    ],
  }),
  limit("IdleTimeoutMs", 0),
  limit("IdleTimeoutMs", 1),
  limit("IdleTimeoutMs", 60_000),
  limit("HeaderTimeoutMs", 0),
  limit("HeaderTimeoutMs", 1, true),
  limit("HeaderTimeoutMs", 60_000),
  limit("MaxBodyBytes", 0),
  limit("MaxBodyBytes", 1_000_000_000),
  limit("MaxHeaderBytes", 0),
  limit("MaxHeaderBytes", 1),
  limit("MaxHeaderBytes", 1_000_000),
  {
    title: "several versions in quick succession",
    async apply(phased) {
      const { store } = phased.deployment;
      for (let version = 2; version < 40; version++) {
        const overrides = version % 2 === 0 ? { Routes: [] } : {};
        store.put("op/config", buildConfiguration(version, overrides));
        await sleep(5);
      }
      await put(phased, 40, {});
    },
  },
  {
    title: "an unreadable configuration",
    apply: async ({ deployment }) => {
      deployment.store.put("op/config", { Version: "two", Routes: 7 });
      await sleep(300);
    },
  },
  entries("removed entries", ({ id }, store) => store.remove(`servers/${id}`)),
  entries(
    "draining upstreams",
    (upstream, store) =>
      store.put(
        `servers/${upstream.id}`,
        upstream.entry("desk", "draining", 2),
      ),
  ),
  entries(
    "ids that another service uses",
    (upstream, store) =>
      store.put(`servers/${upstream.id}`, {
        ...upstream.entry("limited", "ready", 1),
        born: 1_800_000_000_000,
      }),
  ),
];

/// Whether each request has its answer, or the connection has ended.
function isSettled({ connection, count }: PhasedRequest): boolean {
  return connection.isClosed() ||
    readAnswers(connection.received()).complete.length >= count;
}

const describeAnswers = ({ complete, rest }: CallerAnswers) =>
  `${complete.map(({ status, body }) => `${status} ${body.slice(0, 60)}`)}` +
  (rest ? ` then ${JSON.stringify(rest.slice(0, 80))}` : "");

/// Releases all requests and checks that each has exactly one complete answer,
/// and that a connection that stays open answers the next one.
async function checkAnswers(
  t: ExecutionContext,
  { requests, release }: Phased,
  { endsHeads = false }: Pick<Change, "endsHeads"> = {},
) {
  release();
  const failures: string[] = [];
  const checked = requests.filter(({ hasHead }) => hasHead || !endsHeads);
  await until(() => checked.every(isSettled)).catch(() => {});
  const next: PhasedRequest[] = [];
  for (const request of checked) {
    const { connection, count, title, isRunning } = request;
    const answers = readAnswers(connection.received());
    const isAnswered = answers.complete.length === count && !answers.rest;
    if (!isAnswered || isRunning && answers.complete[0]?.status !== 200) {
      failures.push(`${title}: ${describeAnswers(answers)}`);
    }
    const isLast = /^connection: close$/im
      .test(answers.complete.at(-1)?.fields ?? "");
    if (isLast) continue;
    connection.send(formatPatientRequest("/look/next", { body: "" }));
    next.push({ ...request, count: count + 1 });
  }
  await until(() => next.every(isSettled)).catch(() => {});
  for (const { connection, count, title } of next) {
    const answers = readAnswers(connection.received());
    if (answers.complete.length === count && !answers.rest) continue;
    failures.push(`next after ${title}: ${describeAnswers(answers)}`);
  }
  t.deepEqual(failures, []);
}

const drain = ({ deployment }: Phased, gateway: number) =>
  void deployment.gateways[gateway]!.drain();

const STOPS: readonly Change[] = [
  { title: "a stop", apply: (phased) => drain(phased, 0) },
  {
    title: "a stop that is signalled twice",
    apply: (phased) => (drain(phased, 0), drain(phased, 0)),
  },
  {
    title: "a stop and no routes",
    async apply(phased) {
      const applied = put(phased, 2, { Routes: [] });
      drain(phased, 0);
      await applied;
    },
  },
  { title: "a stop of the other VM", apply: (phased) => drain(phased, 1) },
];

for (const change of [...CHANGES, ...STOPS]) {
  test.serial(`requests in each phase beside ${change.title} are answered once`, async (t) => {
    const check = async (isTunnelled: boolean) => {
      const phased = await startPhasedDeployment(t, { isTunnelled });
      await change.apply(phased);
      await sleep(200);
      await checkAnswers(t, phased, change);
    };
    await Promise.all([check(false), check(true)]);
  });
}
