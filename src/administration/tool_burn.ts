import { formatBurnPage } from "./burn_page.ts";
import type { BurnReport } from "./burn_schemas.ts";
import { formatTable } from "./text_table.ts";
import { EXIT, printResult, type ToolCommand } from "./tool_command.ts";

/// The tool's `burn` command.

function formatBurn({ objectives, vms, missing }: BurnReport): string {
  const windows = objectives[0]?.windows ?? [];
  const rows = objectives.map((objective) => [
    objective.name,
    objective.target,
    objective.alert,
    ...objective.windows.map(({ burn, bad, total }) =>
      `${burn.toFixed(2)} (${bad}/${total})`
    ),
  ]);
  const columns = [
    "objective",
    "target",
    "alert",
    ...windows.map(({ name }) => name),
  ];
  const list = (names: readonly string[]) => names.join(", ") || "none";
  return [
    formatTable(columns, rows),
    "burn (bad/counted); at 1 the budget is spent when the window ends",
    `each window covers up to one bucket (1/30) more than its length`,
    `VMs counted: ${vms.length}; missing: ${list(missing)}`,
    ...windows.map(({ name, partialVms }) =>
      `counted for less than ${name}: ${list(partialVms)}`
    ),
  ].join("\n");
}

export const showBurn: ToolCommand = async (context) => {
  const report = await context.client.readBurn();
  if (!context.flags.html) return printResult(context, report, formatBurn);
  context.print(formatBurnPage(report));
  return EXIT.ok;
};
