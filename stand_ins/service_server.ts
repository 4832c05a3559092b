import type { Clock } from "../src/support/clock.ts";
import {
  createStandInApplication,
  listen,
  type StandInServer,
} from "./stand_in_server.ts";

/// Executions by idempotency key, shared by the replicas of one service.
export type ExecutionCounts = Map<string, number>;

/// A plain service that counts how often it ran for each key.
export interface ServiceServer extends StandInServer {
  /// Executions of non-idempotent calls by idempotency key.
  runsOf(key: string): number;
  /// Delays every answer.
  setDelay(milliseconds: number): void;
  /// The next `count` calls run, then the connection is cut.
  cutAnswers(count: number): void;
}

/// Serves any path: `POST` executes once for each call, `GET` tells whether
/// the key in `?key=` has run.
export async function startServiceServer(
  clock: Clock,
  runs: ExecutionCounts = new Map(),
): Promise<ServiceServer> {
  const application = createStandInApplication();
  let delay = 0;
  let answersToCut = 0;

  application.post("/*", async (request, reply) => {
    const key = String(request.headers["idempotency-key"] ?? "none");
    runs.set(key, (runs.get(key) ?? 0) + 1);
    if (delay > 0) await clock.sleep(delay);
    if (answersToCut > 0) {
      answersToCut--;
      reply.hijack();
      reply.raw.destroy();
      return;
    }
    return { placed: true, key, run: runs.get(key) };
  });

  application.get("/load", () => ({ running: 0 }));

  application.get("/*", async (request) => {
    if (delay > 0) await clock.sleep(delay);
    const { key } = request.query as { key?: string };
    return { key, executed: key !== undefined && runs.has(key) };
  });

  const server = await listen(application);
  return {
    ...server,
    runsOf: (key) => runs.get(key) ?? 0,
    setDelay: (milliseconds) => void (delay = milliseconds),
    cutAnswers: (count) => void (answersToCut = count),
  };
}
