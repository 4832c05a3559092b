import { Agent, request as sendRequest } from "node:http";
import { randomInteger, type RandomSource } from "../../src/support/random.ts";
import { API_KEY, HOST } from "../platform/platform_deployment.ts";
import type { GatewayProcess } from "../soak/gateway_process.ts";
import type { RequestRecord } from "../soak/invariants.ts";

/// Callers that send requests of each kind over persistent connections to VMs
/// that are ready.

const CALLER_COUNT = 8;
const CALLER_DELAY_MILLISECONDS = 25;
/// The deadline that callers state.
export const REQUEST_TIMEOUT_MILLISECONDS = 10_000;
const PATHS = { stream: "/ask/1", once: "/once/1", safe: "/look/1" };
const KINDS = Object.keys(PATHS) as (keyof typeof PATHS)[];

/// A result and the VM that gave it.
export interface CallRecord extends RequestRecord {
  readonly vm: string;
}

/// The callers of a deployment.
export interface Callers {
  /// Results so far.
  readonly records: readonly CallRecord[];
  /// Ends the callers after their last requests.
  stop(): Promise<void>;
}

export interface CallersOptions {
  readonly random: RandomSource;
  /// Returns the VMs that get requests now.
  readonly vms: () => readonly GatewayProcess[];
}

/// Starts callers, which send until they are stopped.
export function startCallers({ random, vms }: CallersOptions): Callers {
  const records: CallRecord[] = [];
  let nextRequest = 1;
  let hasEnded = false;

  const call = (agent: Agent) => {
    const kind = KINDS[randomInteger(random, KINDS.length)]!;
    const ready = vms();
    const vm = ready[randomInteger(random, ready.length)]!;
    const id = `request-${nextRequest++}`;
    const startedAt = performance.now();
    const [host, port] = vm.callerAddress.split(":");
    return new Promise<void>((resolve) => {
      let body = "";
      const finish = (status: number | undefined, isWhole: boolean) => {
        records.push({
          id,
          kind,
          vm: vm.vm,
          hasRoute: true,
          status,
          body,
          isWhole,
          took: performance.now() - startedAt,
          allowedMilliseconds: REQUEST_TIMEOUT_MILLISECONDS,
        });
        resolve();
      };
      const outgoing = sendRequest({
        agent,
        host,
        port,
        method: kind === "safe" ? "GET" : "POST",
        path: PATHS[kind],
        headers: {
          Host: HOST,
          Authorization: `Token ${API_KEY}`,
          "X-Attempt-Id": id,
          "X-Deadline-Ms": String(REQUEST_TIMEOUT_MILLISECONDS),
          "X-Token-Counts": "2000,200",
        },
      }, (response) => {
        response.on("data", (chunk: Buffer) => void (body += chunk));
        response.on(
          "end",
          () => finish(response.statusCode, response.complete),
        );
        response.on("error", () => finish(response.statusCode, false));
      });
      outgoing.on("error", () => finish(undefined, false));
      outgoing.end(kind === "safe" ? undefined : `body of ${id}`);
    });
  };

  const run = async () => {
    const agent = new Agent({ keepAlive: true });
    while (!hasEnded) {
      await call(agent);
      await new Promise((resolve) =>
        setTimeout(resolve, CALLER_DELAY_MILLISECONDS)
      );
    }
    agent.destroy();
  };

  const callers = Array.from({ length: CALLER_COUNT }, run);
  return {
    records,
    async stop() {
      hasEnded = true;
      await Promise.all(callers);
    },
  };
}
