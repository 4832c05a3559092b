import { mkdir, writeFile } from "node:fs/promises";

/// Results of a measurement and the files they are written to.

export type Cell = string | number;

export interface ResultTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly Cell[])[];
}

/// A figure beside the bound that it has to keep.
export interface TargetCheck {
  readonly name: string;
  readonly target: string;
  readonly measured: string;
  readonly met: boolean;
}

export interface MeasurementResult {
  readonly name: string;
  /// What was measured and how, for a reader of the tables.
  readonly summary: string;
  readonly seed?: number;
  readonly tables: readonly ResultTable[];
  readonly targets: readonly TargetCheck[];
}

/// A measurement that `npm run measure -- <name>` can run.
export type Measurement = (
  options: readonly string[],
) => Promise<MeasurementResult>;

const DIRECTORY = "docs/measurements";

/// One table as Markdown, under its title.
export function toMarkdownTable({ title, columns, rows }: ResultTable): string {
  const line = (cells: readonly Cell[]) => `| ${cells.join(" | ")} |`;
  const rule = line(columns.map(() => "---"));
  return [`### ${title}`, "", line(columns), rule, ...rows.map(line)]
    .join("\n");
}

/// The result as Markdown.
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
  await mkdir(DIRECTORY, { recursive: true });
  const path = `${DIRECTORY}/${result.name}`;
  await writeFile(`${path}.json`, JSON.stringify(result, null, 2) + "\n");
  await writeFile(`${path}.md`, toMarkdown(result));
}
