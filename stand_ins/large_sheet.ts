import { createHash } from "node:crypto";
import type { Sheet } from "../src/contracts/sheet.ts";

export interface LargeSheetOptions {
  readonly customers: number;
  readonly models: number;
  readonly engines: number;
}

/// Number of models that each customer may use.
const MODELS_PER_CUSTOMER = 3;

/// Returns a sheet of a given size. Equal options give equal sheets.
export function largeSheet(options: LargeSheetOptions): Sheet {
  const indices = (count: number) => Array.from(Array(count).keys());
  const customerName = (customer: number) => `customer-${customer}`;
  return {
    options: { objective: "slowdown", longPromptTokens: 100_000 },
    customers: indices(options.customers).map((customer) => ({
      name: customerName(customer),
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
    models: indices(options.customers).flatMap((customer) =>
      indices(MODELS_PER_CUSTOMER).map((offset) => ({
        customer: customerName(customer),
        model: `model-${(customer + offset) % options.models}`,
        version: "1",
        share: 1,
      }))
    ),
    upstreams: indices(options.engines).map((engine) => ({
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
