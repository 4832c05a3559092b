import { mkdtempSync, rmSync } from "node:fs";
import { get } from "node:http";
import { tmpdir } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { createSystemClock } from "../../src/support/clock.ts";
import { createSeededRandom } from "../../src/support/random.ts";
import type { DialResult } from "../../src/tunnels/dial.ts";
import { dialThroughVm } from "../../src/tunnels/tunnel_client.ts";
import {
  API_KEY,
  HOST,
  sampleConfiguration,
  until,
} from "../platform/platform_deployment.ts";
import { createPlatformStore } from "../platform/platform_store.ts";
import {
  createGatewayProcess,
  type GatewayProcess,
} from "../soak/gateway_process.ts";
import { findViolations } from "../soak/invariants.ts";
import {
  type CallRecord,
  REQUEST_TIMEOUT_MILLISECONDS,
  startCallers,
} from "./callers.ts";
import { createChangingUpstreams } from "./changing_upstreams.ts";

/// Replaces the VMs of a deployment one after the other by ones of the current
/// build, while callers send requests and the configuration and the upstreams
/// change. The seed determines the callers and the speed of streams.

export interface UpgradeOptions {
  readonly seed: number;
  /// Program of the build that runs at first.
  readonly earlierProgram: string;
}

export interface UpgradeResult {
  readonly requests: number;
  /// What went wrong.
  readonly broken: readonly string[];
}

interface LogLine {
  readonly event: string;
  readonly upstream?: string;
}

/// More than the VMs of a data centre that all follow the store.
const VM_COUNT = 4;
const UPSTREAMS_PER_SERVICE = 3;
/// Time after the stop signal in which the platform's entry still sends requests.
const ENTRY_DELAY_MILLISECONDS = 1_000;
/// The platform's bound for a configuration to be known on all VMs.
const CONFIGURATION_MILLISECONDS = 2_000;
const TARGET_LATENCY_MILLISECONDS = 2_000;
const TUNNEL_TIMEOUT_MILLISECONDS = 1_000;
/// Parts of log lines that show that a VM can't read what it received.
const UNREADABLE = new RegExp([
  "unexpected error",
  "not readable",
  "not usable",
  "names no upstream",
  "malformed",
  "stop failed",
  "no common protocol",
  "wrong secret",
  "before the handshake",
].join("|"));

let nextFetch = 1;

function fetch(address: string, path: string) {
  const [host, port] = address.split(":");
  const headers = {
    Host: HOST,
    Authorization: `Token ${API_KEY}`,
    "X-Attempt-Id": `fetch-${nextFetch++}`,
  };
  return new Promise<{ status: number; body: string }>((resolve, reject) => {
    get({ host, port, path, headers, agent: false }, (response) => {
      let body = "";
      response.on("data", (chunk: Buffer) => void (body += chunk));
      response.on("end", () => resolve({ status: response.statusCode!, body }));
    }).on("error", reject);
  });
}

const isReady = async ({ readinessAddress }: GatewayProcess) =>
  (await fetch(readinessAddress, "/")).status === 200;

async function isLinked({ metricsAddress }: GatewayProcess, peers: number) {
  const { body } = await fetch(metricsAddress, "/metrics");
  return body.includes(`sequoiaturn_gateway_peers ${peers}\n`);
}

/// Returns a configuration with one more route. Its times are so long that a busy
/// machine is not taken for failing upstreams.
function configure(version: number, prefix: string) {
  const configuration = sampleConfiguration(version);
  const route = { ...configuration.Routes[2], Name: prefix, Prefix: prefix };
  const Routes = [...configuration.Routes, route].map((each) => ({
    ...each,
    TimeoutMs: REQUEST_TIMEOUT_MILLISECONDS,
    TargetLatencyMs: TARGET_LATENCY_MILLISECONDS,
  }));
  return { ...configuration, Routes };
}

/// Runs an upgrade from another build to the current one.
export async function runUpgrade(
  { seed, earlierProgram }: UpgradeOptions,
): Promise<UpgradeResult> {
  const random = createSeededRandom(seed);
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-upgrade-`);
  const store = createPlatformStore();
  const { address: storeAddress } = await store.openEndpoint();
  const upstreams = createChangingUpstreams({ random, store });
  const broken: string[] = [];
  const vms: GatewayProcess[] = [];
  /// VMs that get requests, and until when.
  const readyUntil = new Map<GatewayProcess, number>();
  const ready = () =>
    [...readyUntil].flatMap(([vm, end]) => performance.now() < end ? [vm] : []);
  let version = 1;

  const createVm = async () => {
    const name = `vm-${vms.length}`;
    const vm = await createGatewayProcess(name, { storeAddress, folder });
    vms.push(vm);
    return vm;
  };

  const waitUntilLinked = () =>
    until(async () => {
      const states = ready().map((vm, _, all) => isLinked(vm, all.length - 1));
      return (await Promise.all(states)).every((state) => state);
    });

  const start = async (vm: GatewayProcess, program?: string) => {
    await vm.start(program);
    await until(() => isReady(vm));
    readyUntil.set(vm, Infinity);
  };

  const stop = async (vm: GatewayProcess) => {
    vm.signal("SIGTERM");
    readyUntil.set(vm, performance.now() + ENTRY_DELAY_MILLISECONDS);
    await vm.waitForExit();
  };

  const replaceInPlace = async (vm: GatewayProcess) => {
    await stop(vm);
    await start(vm);
    await waitUntilLinked();
  };

  const replaceByAnother = async (vm: GatewayProcess) => {
    await start(await createVm());
    await stop(vm);
    await waitUntilLinked();
  };

  const changeConfiguration = async () => {
    version += 1;
    const prefix = `/version-${version}/`;
    store.put("op/config", configure(version, prefix));
    await sleep(CONFIGURATION_MILLISECONDS);
    for (const vm of ready()) {
      const { status } = await fetch(vm.callerAddress, `${prefix}1`);
      if (status === 200) continue;
      broken.push(`${vm.vm} answers ${status} on the route ${prefix}`);
    }
  };

  const removeLeaving = async (service: string, id: string) => {
    const late = await upstreams.leave(service, id);
    if (late > 0) broken.push(`${late} requests reached ${id} too late`);
  };

  /// Asks a VM of the earlier build, which may know no tunnels, for one.
  const requestTunnel = async (vm: GatewayProcess) => {
    const result = await new Promise<DialResult>((resolve) => {
      dialThroughVm({
        clock: createSystemClock(),
        self: "vm-test",
        vmAddress: vm.linkAddress,
        address: upstreams.all[0]!.address,
        secret: "another secret",
        timeout: TUNNEL_TIMEOUT_MILLISECONDS,
      }, resolve);
    });
    const isRefused = result.kind === "failed" &&
      result.failure === "unavailable" && !result.reason.includes("in time");
    if (!isRefused) broken.push(`tunnel of ${vm.vm}: ${result.kind}`);
    await waitUntilLinked();
  };

  const startDeployment = async () => {
    store.put("op/config", configure(version, "/other/"));
    for (const service of ["engines", "desk"]) {
      for (let index = 0; index < UPSTREAMS_PER_SERVICE; index++) {
        await upstreams.add(service, `${service}-${index}`);
      }
    }
    for (let index = 0; index < VM_COUNT; index++) {
      await start(await createVm(), earlierProgram);
    }
    await waitUntilLinked();
  };

  const replaceAll = async () => {
    const [first, second, third, fourth] = vms;
    await replaceInPlace(first!);
    await requestTunnel(fourth!);
    await Promise.all([replaceByAnother(second!), changeConfiguration()]);
    await Promise.all([
      replaceInPlace(third!),
      removeLeaving("engines", "engines-0"),
      removeLeaving("desk", "desk-0"),
    ]);
    await Promise.all([
      changeConfiguration(),
      upstreams.crash("engines", "engines-1"),
      upstreams.crash("desk", "desk-1"),
    ]);
    await replaceByAnother(fourth!);
  };

  const check = (record: CallRecord) => {
    const { id, kind, status, isWhole, vm } = record;
    broken.push(...findViolations(record, upstreams.executionsOf(id)));
    if (status === 200 && isWhole) return;
    const lines = vms.flatMap((each) => each.log())
      .filter((line) => line.includes(`"request":"${id}"`));
    const ended = lines.map((line) => JSON.parse(line) as LogLine)
      .find(({ event }) => event === "try ended");
    // The upstream may have run it, also if it didn't record that any more.
    const wasCutOff = status === 502 && upstreams.hasCrashed(ended?.upstream);
    if (kind === "once" && wasCutOff) return;
    const state = isWhole ? "" : ", broken off";
    broken.push(`${id}, ${kind} at ${vm}: ${status}${state}`, ...lines);
  };

  try {
    await startDeployment();
    const callers = startCallers({ random, vms: ready });
    await replaceAll().finally(callers.stop);
    callers.records.forEach(check);
    for (const vm of vms) {
      broken.push(...vm.log().filter((line) => UNREADABLE.test(line)));
    }
    return { requests: callers.records.length, broken };
  } finally {
    for (const vm of vms) {
      vm.signal("SIGKILL");
      await vm.waitForExit();
    }
    upstreams.close();
    store.close();
    rmSync(folder, { recursive: true });
  }
}
