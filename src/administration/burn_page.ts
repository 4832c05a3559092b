import type { BurnReport, BurnWindow } from "./burn_schemas.ts";

/// The burn report as a self-contained HTML page.

const PLOT_WIDTH_PIXELS = 260;
const PLOT_HEIGHT_PIXELS = 80;
/// Lowest burn rate at the top of a plot; it applies if all bars are lower.
const MINIMUM_PLOT_SCALE = 2;

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

const HTML_ESCAPES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
};

const escapeHtml = (text: string) =>
  text.replace(/[&<>"]/g, (character) => HTML_ESCAPES[character]!);

const round = (value: number) => Math.round(value * 100) / 100;

/// One bar per bucket, the oldest on the left, and a line at a burn rate of 1.
function renderPlot({ series, name }: BurnWindow): string {
  const scale = Math.max(MINIMUM_PLOT_SCALE, ...series);
  const heightOf = (burn: number) => round(PLOT_HEIGHT_PIXELS * burn / scale);
  const width = PLOT_WIDTH_PIXELS / series.length;
  const bars = series.toReversed().map((burn, index) => {
    const height = heightOf(burn);
    const classAttribute = burn > 1 ? ' class="high"' : "";
    return `<rect${classAttribute} x="${round(index * width)}" ` +
      `y="${round(PLOT_HEIGHT_PIXELS - height)}" width="${round(width - 1)}" ` +
      `height="${height}"/>`;
  });
  const budgetLineY = PLOT_HEIGHT_PIXELS - heightOf(1);
  return `<svg class="over" width="${PLOT_WIDTH_PIXELS}" height="${PLOT_HEIGHT_PIXELS}" ` +
    `role="img" aria-label="burn over ${escapeHtml(name)}, up to ${
      round(scale)
    }">` +
    bars.join("") +
    `<line x1="0" x2="${PLOT_WIDTH_PIXELS}" y1="${budgetLineY}" y2="${budgetLineY}"/></svg>`;
}

function renderWindow(window: BurnWindow): string {
  const { burn, bad, total } = window;
  return `<td><b>${round(burn)}</b> (${bad} bad of ${total})` +
    `${renderPlot(window)}</td>`;
}

function renderVmList(vms: readonly string[]): string {
  return vms.length === 0 ? "none" : escapeHtml(vms.join(", "));
}

export function formatBurnPage(report: BurnReport): string {
  const [firstObjective] = report.objectives;
  const headings = firstObjective?.windows.map(({ name }) =>
    `<th>${escapeHtml(name)}</th>`
  );
  const rows = report.objectives.map((objective) =>
    `<tr><td><b>${escapeHtml(objective.name)}</b><br>` +
    `${escapeHtml(objective.description)}<br>target ${objective.target}<br>` +
    `alert: <span class="${objective.alert}">${objective.alert}</span></td>` +
    `${objective.windows.map(renderWindow).join("")}</tr>`
  );
  const partialVmItems = firstObjective?.windows.map(({ name, partialVms }) =>
    `<li>${escapeHtml(name)}: ${renderVmList(partialVms)}</li>`
  );
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>${STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>Counts of ${report.vms.length} VMs. Missing: ${renderVmList(report.missing)}.
A burn of 1 spends the error budget exactly over the window.</p>
<table><tr><th>objective</th>${headings?.join("")}</tr>
${rows.join("\n")}</table>
<p>Each window covers its length and up to one bucket (1/30) more. VMs that
have counted for less than the window:</p><ul>${partialVmItems?.join("")}</ul>
</body></html>
`;
}
