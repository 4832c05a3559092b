import type { Clock } from "../src/support/clock.ts";
import {
  type ServiceAnswer,
  type ServiceCall,
  type ServiceClient,
  ServiceLostError,
  ServiceNotReachedError,
} from "../src/upstreams/service_client.ts";

/// Model of a service that counts the executions of each non-idempotent action.
/// Its replicas share one model.
export interface ServiceModel {
  /// Returns a client of the replica `name`.
  connect(name?: string): ServiceClient;
  /// Number of executions of a `POST` with this idempotency key.
  executionCount(key: string): number;
  /// Number of executions by idempotency key.
  executionCounts(): ReadonlyMap<string, number>;
  /// Delays the response of every call by this time.
  setDelay(milliseconds: number): void;
  /// The next `count` calls are executed, but their responses are lost.
  loseAnswers(count: number): void;
  /// The next `count` calls are lost before they are executed.
  loseCalls(count: number): void;
  /// While down, connections are refused and no call is executed.
  setDown(down: boolean): void;
  /// A replica that executes a call for which `crashes` returns true ends and
  /// stays down.
  crashOn(crashes: (call: ServiceCall) => boolean): void;
  /// Number of replicas that have crashed.
  crashCount(): number;
}

function toAnswer(value: object): ServiceAnswer {
  const body = Buffer.from(JSON.stringify(value));
  return { status: 200, contentType: "application/json", body };
}

/// Creates a service that executes an action for each `POST`, and whose `GET`
/// returns whether the action with the key in `?key=` was executed.
export function createServiceModel(clock: Clock): ServiceModel {
  const executionCounts = new Map<string, number>();
  let delayMilliseconds = 0;
  let answersToLose = 0;
  let callsToLose = 0;
  let isDown = false;
  let crashes: (call: ServiceCall) => boolean = () => false;
  const crashed = new Set<string>();

  const execute = (call: ServiceCall): ServiceAnswer => {
    if (call.method === "GET") {
      const key = new URLSearchParams(call.query).get("key") ?? "";
      const count = executionCounts.get(key) ?? 0;
      return toAnswer({ key, executed: count > 0, runs: count });
    }
    const key = call.idempotencyKey ?? "none";
    const run = (executionCounts.get(key) ?? 0) + 1;
    executionCounts.set(key, run);
    return toAnswer({ placed: true, key, run });
  };

  return {
    connect: (name = "") => ({
      async send(call, signal) {
        if (isDown || crashed.has(name)) {
          const hasEnded = true;
          throw new ServiceNotReachedError("the service is down", { hasEnded });
        }
        signal.throwIfAborted();
        if (crashes(call)) {
          crashed.add(name);
          throw new ServiceLostError("the connection was closed");
        }
        if (callsToLose > 0) {
          callsToLose--;
          throw new ServiceLostError("the connection was cut");
        }
        const answer = execute(call);
        const lost = answersToLose > 0;
        if (lost) answersToLose--;
        if (delayMilliseconds > 0) await clock.sleep(delayMilliseconds);
        else await Promise.resolve();
        if (lost) throw new ServiceLostError("the answer was lost");
        return answer;
      },
      acceptsConnections: () => Promise.resolve(!isDown && !crashed.has(name)),
    }),
    executionCount: (key) => executionCounts.get(key) ?? 0,
    executionCounts: () => executionCounts,
    setDelay: (milliseconds) => void (delayMilliseconds = milliseconds),
    loseAnswers: (count) => void (answersToLose = count),
    loseCalls: (count) => void (callsToLose = count),
    setDown: (value) => void (isDown = value),
    crashOn: (predicate) => void (crashes = predicate),
    crashCount: () => crashed.size,
  };
}
