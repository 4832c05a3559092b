import { FAULTS } from "./faults.ts";
import type { RowPlan } from "./row.ts";
import { SCENARIOS } from "./scenarios.ts";

/// The rows of the matrix: every combination of scenario, step and fault, alone
/// and followed by a second fault.

export interface MatrixOptions {
  readonly seed: number;
  /// Second faults for each first fault: none, one that changes from row to row,
  /// or all others.
  readonly pairs: "none" | "rotating" | "all";
}

/// Plans all rows, in a fixed order.
export function planMatrix({ seed, pairs }: MatrixOptions): RowPlan[] {
  const faultNames = Object.keys(FAULTS);
  const rows: RowPlan[] = [];
  let pairIndex = 0;
  for (const scenario of SCENARIOS) {
    for (const step of scenario.steps) {
      for (const fault of faultNames) {
        const row = { scenario, step, fault, seed };
        rows.push({ ...row, secondFault: undefined });
        const others = faultNames.filter((name) => name !== fault);
        const paired = pairs === "all"
          ? others
          : pairs === "none"
          ? []
          : [others[pairIndex++ % others.length]!];
        for (const secondFault of paired) rows.push({ ...row, secondFault });
      }
    }
  }
  return rows;
}

/// Describes a row in one line.
export function describeRow(plan: RowPlan): string {
  const faults = plan.secondFault
    ? `${plan.fault} + ${plan.secondFault}`
    : plan.fault;
  return `${plan.scenario.name.padEnd(9)} ${plan.step.padEnd(15)} ` +
    `${faults.padEnd(34)} seed ${plan.seed}`;
}
