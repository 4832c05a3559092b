import { createHash } from "node:crypto";
import { type Sheet } from "../src/contracts/sheet.ts";

export interface SampleSheetOptions {
  /// API key of each customer.
  readonly keys?: Readonly<Record<string, string>>;
  readonly engines?: number;
  readonly replicas?: number;
}

/// Returns a sheet with high limits: model `text` on engines `engine-1`, … and
/// service `desk` on replicas `desk-1`, …. Only the customer `nobody`, which has
/// no key, may use the model `other`.
export function sampleSheet(options: SampleSheetOptions = {}): Sheet {
  const { keys = { caller: "caller-key" }, engines = 4, replicas = 2 } =
    options;
  const numbersTo = (count: number) =>
    Array.from({ length: count }, (_, index) => index + 1);
  let nextPort = 1;
  const upstream = (
    kind: "engine" | "service",
    serves: string,
    name: string,
  ) => ({
    name,
    kind,
    serves,
    dataCentre: "muttrah",
    address: `127.0.0.1:${nextPort++}`,
    checksFencing: true,
  });
  return {
    options: { objective: "slowdown", longPromptTokens: 100_000 },
    customers: Object.entries({ ...keys, nobody: "" }).map(([name, key]) => ({
      name,
      keyHashes: key === ""
        ? []
        : [createHash("sha256").update(key).digest("hex")],
      priority: "normal",
      weight: 1,
      requestsPerSecond: 1_000,
      tokensPerSecond: 10_000_000,
      concurrentLongRequests: 4,
      shortDeadlineMilliseconds: 20_000,
      longDeadlineMilliseconds: 60_000,
    })),
    models: [
      ...Object.keys(keys).map((customer) => ({
        customer,
        model: "text",
        version: "1",
        share: 1,
      })),
      { customer: "nobody", model: "other", version: "1", share: 1 },
    ],
    upstreams: [
      ...numbersTo(engines).map((number) =>
        upstream("engine", "text", `engine-${number}`)
      ),
      ...numbersTo(replicas).map((number) =>
        upstream("service", "desk", `desk-${number}`)
      ),
    ],
    operations: replicas === 0 ? [] : [
      {
        service: "desk",
        method: "GET",
        path: "/orders/status",
        idempotent: true,
        statusPath: "",
      },
      {
        service: "desk",
        method: "POST",
        path: "/orders",
        idempotent: false,
        statusPath: "/orders/status",
      },
    ],
  };
}
