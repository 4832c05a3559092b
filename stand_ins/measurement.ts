import { mkdir, writeFile } from "node:fs/promises";

/// Results of a measurement, and the JSON and Markdown files with them.

export type Cell = string | number;

export interface ResultTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/// A measured value and the bound that it has to meet.
export interface TargetCheck {
  readonly name: string;
  readonly target: string;
  readonly measured: string;
  readonly met: boolean;
}

export interface MeasurementResult {
  readonly name: string;
  /// Describes what was measured and how, for readers of the tables.
  readonly summary: string;
  readonly seed?: number;
  readonly tables: readonly ResultTable[];
  readonly targets: readonly TargetCheck[];
}

/// A measurement that `npm run measure -- <name>` can run.
export type Measurement = (
  options: readonly string[],
) => Promise<MeasurementResult>;

const RESULTS_DIRECTORY = "docs/measurements";

/// Formats one table as Markdown, under its title.
export function toMarkdownTable({ title, columns, rows }: ResultTable): string {
  const formatRow = (cells: readonly Cell[]) => `| ${cells.join(" | ")} |`;
  const separator = formatRow(columns.map(() => "---"));
  return [
    `### ${title}`,
    "",
    formatRow(columns),
    separator,
    ...rows.map(formatRow),
  ]
    .join("\n");
}

/// Formats a result as Markdown: the summary, the targets and the tables.
export function toMarkdown(result: MeasurementResult): string {
  const targets = {
    title: "Targets",
    columns: ["figure", "target", "measured", "verdict"],
    rows: result.targets.map(({ name, target, measured, met }) => [
      name,
      target,
      measured,
      met ? "met" : "MISSED",
    ]),
  };
  const parts = [`# ${result.name}`, result.summary];
  if (result.targets.length > 0) parts.push(toMarkdownTable(targets));
  return [...parts, ...result.tables.map(toMarkdownTable)].join("\n\n") + "\n";
}

/// Writes `docs/measurements/<name>.json` and `.md`.
export async function writeResult(result: MeasurementResult): Promise<void> {
  await mkdir(RESULTS_DIRECTORY, { recursive: true });
  const path = `${RESULTS_DIRECTORY}/${result.name}`;
  await writeFile(`${path}.json`, JSON.stringify(result, null, 2) + "\n");
  await writeFile(`${path}.md`, toMarkdown(result));
}
