import { FAULTS } from "./faults.ts";
import type { RowPlan } from "./row.ts";
import { SCENARIOS } from "./scenarios.ts";

/// The rows of the matrix: every scenario, step and fault, alone and followed
/// by a second fault.

export interface MatrixOptions {
  readonly seed: number;
  /// Second faults for each first one: none, a different one for each row, or
  /// all of them.
  readonly pairs: "none" | "rotating" | "all";
}

/// Plans all rows, in a fixed order.
export function planMatrix({ seed, pairs }: MatrixOptions): RowPlan[] {
  const names = Object.keys(FAULTS);
  const rows: RowPlan[] = [];
  let turn = 0;
  for (const scenario of SCENARIOS) {
    for (const step of scenario.steps) {
      for (const fault of names) {
        const row = { scenario, step, fault, seed };
        rows.push({ ...row, secondFault: undefined });
        const others = names.filter((name) => name !== fault);
        const seconds = pairs === "all"
          ? others
          : pairs === "none"
          ? []
          : [others[turn++ % others.length]!];
        for (const secondFault of seconds) rows.push({ ...row, secondFault });
      }
    }
  }
  return rows;
}

/// A row in one line.
export function describeRow(plan: RowPlan): string {
  const faults = plan.secondFault
    ? `${plan.fault} + ${plan.secondFault}`
    : plan.fault;
  return `${plan.scenario.name.padEnd(9)} ${plan.step.padEnd(15)} ` +
    `${faults.padEnd(34)} seed ${plan.seed}`;
}
