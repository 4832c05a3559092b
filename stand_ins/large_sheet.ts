import { createHash } from "node:crypto";
import type { Sheet } from "../src/contracts/sheet.ts";

export interface LargeSheetOptions {
  readonly customers: number;
  readonly models: number;
  readonly engines: number;
}

/// Models that each customer may use.
const MODELS_PER_CUSTOMER = 3;

/// A sheet of a given size, the same each time.
export function largeSheet(options: LargeSheetOptions): Sheet {
  const numbers = (count: number) => Array.from(Array(count).keys());
  const nameOf = (customer: number) => `customer-${customer}`;
  return {
    options: { objective: "slowdown", longPromptTokens: 100_000 },
    customers: numbers(options.customers).map((customer) => ({
      name: nameOf(customer),
      keyHashes: [
        createHash("sha256").update(`key-${customer}`).digest("hex"),
      ],
      priority: "normal",
      weight: 1,
      requestsPerSecond: 10,
      tokensPerSecond: 100_000,
      concurrentLongRequests: 1,
      shortDeadlineMilliseconds: 20_000,
      longDeadlineMilliseconds: 600_000,
    })),
    models: numbers(options.customers).flatMap((customer) =>
      numbers(MODELS_PER_CUSTOMER).map((offset) => ({
        customer: nameOf(customer),
        model: `model-${(customer + offset) % options.models}`,
        version: "1",
        share: 1,
      }))
    ),
    upstreams: numbers(options.engines).map((engine) => ({
      name: `engine-${engine}`,
      kind: "engine",
      serves: `model-${engine % options.models}`,
      dataCentre: `dc-${engine % 8}`,
      address: `10.0.${engine >> 8}.${engine & 255}:9100`,
      checksFencing: true,
    })),
    operations: [],
  };
}
