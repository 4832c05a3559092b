import type { Clock } from "../src/support/clock.ts";
import {
  type ServiceAnswer,
  type ServiceCall,
  type ServiceClient,
  ServiceLostError,
  ServiceNotReachedError,
} from "../src/upstreams/service_client.ts";

/// A plain service that counts how often it ran each one-time action. Its
/// replicas share one model.
export interface ServiceModel {
  /// A client of one replica.
  connect(): ServiceClient;
  /// Executions of a `POST` with this idempotency key.
  executionCount(key: string): number;
  /// Executions of every key.
  executionCounts(): ReadonlyMap<string, number>;
  /// Takes this long to execute a call.
  setDelay(milliseconds: number): void;
  /// The next `count` calls run, then their answers are lost.
  loseAnswers(count: number): void;
  /// The next `count` calls are lost before they run.
  loseCalls(count: number): void;
  /// Refuses connections, so that nothing runs.
  setDown(down: boolean): void;
}

function toAnswer(value: object): ServiceAnswer {
  const body = Buffer.from(JSON.stringify(value));
  return { status: 200, contentType: "application/json", body };
}

/// Creates a service whose `POST` executes once for each call, and whose
/// `GET` tells whether the key in `?key=` has run.
export function createServiceModel(clock: Clock): ServiceModel {
  const runs = new Map<string, number>();
  let delay = 0;
  let answersToLose = 0;
  let callsToLose = 0;
  let down = false;

  const execute = (call: ServiceCall): ServiceAnswer => {
    if (call.method === "GET") {
      const key = new URLSearchParams(call.query).get("key") ?? "";
      const count = runs.get(key) ?? 0;
      return toAnswer({ key, executed: count > 0, runs: count });
    }
    const key = call.idempotencyKey ?? "none";
    const run = (runs.get(key) ?? 0) + 1;
    runs.set(key, run);
    return toAnswer({ placed: true, key, run });
  };

  return {
    connect: () => ({
      async send(call, signal) {
        if (down) throw new ServiceNotReachedError("the service is down");
        signal.throwIfAborted();
        if (callsToLose > 0) {
          callsToLose--;
          throw new ServiceLostError("the connection was cut");
        }
        const answer = execute(call);
        const lost = answersToLose > 0;
        if (lost) answersToLose--;
        if (delay > 0) await clock.sleep(delay);
        else await Promise.resolve();
        if (lost) throw new ServiceLostError("the answer was lost");
        return answer;
      },
    }),
    executionCount: (key) => runs.get(key) ?? 0,
    executionCounts: () => runs,
    setDelay: (milliseconds) => void (delay = milliseconds),
    loseAnswers: (count) => void (answersToLose = count),
    loseCalls: (count) => void (callsToLose = count),
    setDown: (value) => void (down = value),
  };
}
