import type { BurnReport, BurnWindow } from "./burn_schemas.ts";

/// The burn report as one HTML page that loads nothing else.

const PLOT_WIDTH = 260;
const PLOT_HEIGHT = 80;
/// Burn at the top of a plot that stays below it.
const LEAST_SCALE = 2;

const STYLE = `
body { font-family: system-ui, sans-serif; margin: 2rem; color: #222; }
table { border-collapse: collapse; }
td, th { padding: 0.4rem 0.8rem; text-align: left; vertical-align: top; }
rect { fill: #36c; }
.over rect.high { fill: #c33; }
line { stroke: #999; stroke-dasharray: 4 3; }
svg { background: #f4f4f4; display: block; }
.fast { color: #c33; font-weight: bold; }
.slow { color: #b60; font-weight: bold; }
`;

const ESCAPES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
};

const escape = (text: string) =>
  text.replace(/[&<>"]/g, (character) => ESCAPES[character]!);

const round = (value: number) => Math.round(value * 100) / 100;

/// One bar a bucket, the oldest on the left, and a line at a burn of 1.
function drawPlot({ series, name }: BurnWindow): string {
  const scale = Math.max(LEAST_SCALE, ...series);
  const heightOf = (burn: number) => round(PLOT_HEIGHT * burn / scale);
  const width = PLOT_WIDTH / series.length;
  const bars = series.toReversed().map((burn, index) => {
    const height = heightOf(burn);
    const mark = burn > 1 ? ' class="high"' : "";
    return `<rect${mark} x="${round(index * width)}" ` +
      `y="${round(PLOT_HEIGHT - height)}" width="${round(width - 1)}" ` +
      `height="${height}"/>`;
  });
  const even = PLOT_HEIGHT - heightOf(1);
  return `<svg class="over" width="${PLOT_WIDTH}" height="${PLOT_HEIGHT}" ` +
    `role="img" aria-label="burn over ${escape(name)}, up to ${
      round(scale)
    }">` +
    bars.join("") +
    `<line x1="0" x2="${PLOT_WIDTH}" y1="${even}" y2="${even}"/></svg>`;
}

function drawWindow(window: BurnWindow): string {
  const { burn, bad, total } = window;
  return `<td><b>${round(burn)}</b> (${bad} bad of ${total})` +
    `${drawPlot(window)}</td>`;
}

function listVms(vms: readonly string[]): string {
  return vms.length === 0 ? "none" : escape(vms.join(", "));
}

export function formatBurnPage(report: BurnReport): string {
  const [first] = report.objectives;
  const names = first?.windows.map(({ name }) => `<th>${escape(name)}</th>`);
  const rows = report.objectives.map((objective) =>
    `<tr><td><b>${escape(objective.name)}</b><br>` +
    `${escape(objective.description)}<br>target ${objective.target}<br>` +
    `alert: <span class="${objective.alert}">${objective.alert}</span></td>` +
    `${objective.windows.map(drawWindow).join("")}</tr>`
  );
  const partial = first?.windows.map(({ name, partialVms }) =>
    `<li>${escape(name)}: ${listVms(partialVms)}</li>`
  );
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>${STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>Counts of ${report.vms.length} VMs. Missing: ${listVms(report.missing)}.
A burn of 1 spends the error budget exactly over the window.</p>
<table><tr><th>objective</th>${names?.join("")}</tr>
${rows.join("\n")}</table>
<p>Each window covers its length and up to one bucket (1/30) more. VMs that
have counted for less than the window:</p><ul>${partial?.join("")}</ul>
</body></html>
`;
}
