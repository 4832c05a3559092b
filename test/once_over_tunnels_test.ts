import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import {
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "../stand_ins/platform/platform_deployment.ts";
import type {
  ReceivedRequest,
  UpstreamAction,
} from "../stand_ins/platform/scripted_upstream.ts";
import {
  createGatewayProcess,
  type GatewayProcess,
} from "../stand_ins/soak/gateway_process.ts";
import { findViolations } from "../stand_ins/soak/invariants.ts";
import { buildEarlierGateway } from "../stand_ins/upgrade/earlier_gateway.ts";

/// Requests that may run once, of a VM that reaches upstreams only through two
/// others, which run in processes of their own. A fault hits one of these.

interface Fault {
  readonly title: string;
  /// Of the build of the VMs with the tunnels; the current one by default.
  readonly commit?: string;
  readonly signal: "SIGSTOP" | "SIGKILL" | "SIGTERM";
}

/// Its VMs open tunnels without frames.
const EARLIER_COMMIT = "5ea8436";

const FAULTS: readonly Fault[] = [
  { title: "is paused", signal: "SIGSTOP" },
  { title: "is killed", signal: "SIGKILL" },
  { title: "is stopped", signal: "SIGTERM" },
  {
    title: "of a build without frames is paused",
    signal: "SIGSTOP",
    commit: EARLIER_COMMIT,
  },
  {
    title: "of a build without frames is killed",
    signal: "SIGKILL",
    commit: EARLIER_COMMIT,
  },
];

/// Ends the pause of a VM, or waits until it has ended.
async function endFault(vm: GatewayProcess, { signal }: Fault) {
  if (signal === "SIGSTOP") vm.signal("SIGCONT");
  else await vm.waitForExit();
}

/// Moments of a request at which the fault begins.
type Moment = "running" | "responding" | "asking";

const TUNNEL_VMS = 2;
const UPSTREAMS = 4;
const REQUESTS_PER_MOMENT = 6;
const WORK_MILLISECONDS = 500;
const ALLOWED_MILLISECONDS = 3_000;
/// Time in which what a paused VM has kept reaches the upstreams.
const LATE_MILLISECONDS = 500;

const bodyOf = (id: string) => `done ${id}`;

/// Sends the rest of a response later.
function respondInParts(id: string): UpstreamAction {
  const body = bodyOf(id);
  return {
    kind: "raw",
    write(socket, head) {
      const fields = head([`Content-Length: ${body.length}`]);
      socket.write(`${fields}\r\n${body.slice(0, 1)}`);
      const rest = body.slice(1);
      setTimeout(() => socket.writable && socket.write(rest), 1_000);
    },
  };
}

function configure() {
  const configuration = sampleConfiguration(1);
  const Routes = configuration.Routes.map((each) =>
    each.Kind === "non_idempotent" ? { ...each, MaxAttempts: 3 } : each
  );
  return { ...configuration, Routes };
}

async function deploy(t: ExecutionContext, { commit }: Fault) {
  const earlier = commit === undefined
    ? undefined
    : buildEarlierGateway(commit);
  t.teardown(() => earlier?.remove());
  const configuration = configure();
  const deployment = await startPlatformDeployment({ configuration });
  t.teardown(deployment.close);
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-tunnels-`);
  t.teardown(() => rmSync(folder, { recursive: true }));
  const executions = new Map<string, ReceivedRequest[]>();
  const act = (request: ReceivedRequest): UpstreamAction => {
    const id = String(request.headers["x-attempt-id"]);
    executions.set(id, [...executions.get(id) ?? [], request]);
    if (request.body === "responding") return respondInParts(id);
    const workMilliseconds = request.body === "running" ? WORK_MILLISECONDS : 0;
    return { kind: "answer", body: bodyOf(id), workMilliseconds };
  };
  for (let index = 0; index < UPSTREAMS; index++) {
    await deployment.addUpstream("desk", `desk-${index}`, act);
  }
  const { address: storeAddress } = await deployment.store.openEndpoint();
  const vms: GatewayProcess[] = [];
  for (let index = 0; index < TUNNEL_VMS; index++) {
    const options = { storeAddress, folder };
    const vm = await createGatewayProcess(`tunnels-${index}`, options);
    t.teardown(() => vm.signal("SIGKILL"));
    vms.push(vm);
    await vm.start(earlier?.program);
  }
  const peers = `sequoiaturn_gateway_peers ${TUNNEL_VMS}\n`;
  await until(async () => (await deployment.readMetrics()).includes(peers));
  deployment.upstreamNetworks[0]!.partition("refuse");
  // A linked VM is asked for tunnels once the store has listed it.
  const probe = { path: "/look/1", method: "GET" };
  await until(async () => (await deployment.send(probe)).status === 200);

  const send = async (moment: Moment, number: number) => {
    const id = `${moment}-${number}`;
    const startedAt = performance.now();
    const headers = { "X-Attempt-Id": id };
    const { status, body, isWhole } = await deployment.send({
      path: "/once/1",
      body: moment,
      headers,
    });
    const took = performance.now() - startedAt;
    return { id, status, body, isWhole, took };
  };
  const sendAll = (moment: Moment) =>
    Array.from(
      { length: REQUESTS_PER_MOMENT },
      (_, number) => send(moment, number),
    );
  const executionsOf = (id: string) => executions.get(id) ?? [];
  const haveRun = (moment: Moment) =>
    [...executions.keys()].filter((id) => id.startsWith(moment)).length ===
      REQUESTS_PER_MOMENT;
  return { vm: vms[0]!, sendAll, executionsOf, haveRun };
}

for (const fault of FAULTS) {
  test.serial(
    `requests run once, and none that is refused, while a VM with their tunnels ${fault.title}`,
    async (t) => {
      const { vm, sendAll, executionsOf, haveRun } = await deploy(t, fault);
      const earlier = [...sendAll("running"), ...sendAll("responding")];
      await until(() => haveRun("running") && haveRun("responding"));
      vm.signal(fault.signal);
      const results = await Promise.all([...earlier, ...sendAll("asking")]);
      await endFault(vm, fault);
      await sleep(LATE_MILLISECONDS);
      const violations = results.flatMap((result) =>
        findViolations({
          ...result,
          kind: "once",
          hasRoute: true,
          allowedMilliseconds: ALLOWED_MILLISECONDS,
        }, executionsOf(result.id))
      );
      t.deepEqual(violations, []);
      t.true(results.some(({ status, isWhole }) => status === 200 && isWhole));
    },
  );
}
