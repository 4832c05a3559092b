import {
  EXIT,
  printResult,
  type ToolCommand,
  ToolUsageError,
} from "./tool_command.ts";

/// Traces one request through the log files of all VMs.

interface LogLine {
  readonly time: string;
  readonly vm?: string;
  readonly event: string;
  readonly request?: string;
  readonly [field: string]: unknown;
}

/// Fields that a printed line's list of fields omits. The line's prefix shows
/// the time, VM and event, and marks the lines of the request.
const OMITTED_FIELDS = new Set([
  "time",
  "vm",
  "event",
  "request",
  "level",
  "area",
]);
/// Lines about a VM's state are shown if they lie within this time before the
/// request's start or after its last line.
const CONTEXT_MARGIN_MILLISECONDS = 2_000;
const CONTEXT_EVENTS = new Set([
  "configuration changed",
  "store lost",
  "store connected",
  "upstream changed",
  "upstream suspended",
  "upstream regained",
  "stopping",
  "stopped",
  "started",
]);

/// Parses the JSON of log lines. Text before the JSON is ignored, and so are
/// lines without an event.
export function parseLogLines(text: string): LogLine[] {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    if (start < 0) return [];
    try {
      const value = JSON.parse(line.slice(start)) as LogLine;
      return typeof value.event === "string" ? [value] : [];
    } catch {
      // A line of another program, or a truncated one.
      return [];
    }
  });
}

/// The request's lines and the state changes of the same VMs and upstreams
/// around its time, ordered by time. Empty if no line names the request.
export function explainRequest(
  lines: readonly LogLine[],
  request: string,
): LogLine[] {
  const requestLines = lines.filter((line) => line.request === request);
  if (requestLines.length === 0) return [];
  const times = requestLines.map((line) => Date.parse(line.time));
  const took = Math.max(
    0,
    ...requestLines.map((line) => Number(line["took"] ?? 0)),
  );
  const from = Math.min(...times) - took - CONTEXT_MARGIN_MILLISECONDS;
  const to = Math.max(...times) + CONTEXT_MARGIN_MILLISECONDS;
  const vms = new Set(requestLines.map((line) => line.vm));
  const upstreams = new Set(requestLines.map((line) => line["upstream"]));
  const contextLines = lines.filter((line) => {
    const time = Date.parse(line.time);
    if (line.request !== undefined || !CONTEXT_EVENTS.has(line.event)) {
      return false;
    }
    if (time < from || time > to || !vms.has(line.vm)) return false;
    if (!line.event.startsWith("upstream")) return true;
    const id = line["upstream"] ?? String(line["detail"]).split(" ")[0];
    return upstreams.has(id);
  });
  return [...requestLines, ...contextLines].sort((left, right) =>
    Date.parse(left.time) - Date.parse(right.time)
  );
}

function formatLogLines(lines: readonly LogLine[]): string {
  return lines.map((line) => {
    const fields = Object.entries(line)
      .filter(([name]) => !OMITTED_FIELDS.has(name))
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    const prefix = line.request === undefined ? "  " : "> ";
    return `${prefix}${line.time} ${line.vm ?? "-"} ${line.event}  ` +
      fields.join(" ");
  }).join("\n");
}

/// Prints the log lines of a request and their context: `explain ID FILE...`.
export const explain: ToolCommand = async (context) => {
  const [request, ...files] = context.operands;
  if (request === undefined || files.length === 0) {
    throw new ToolUsageError("expected a request's id and log files");
  }
  const texts = await Promise.all(files.map(context.readFile));
  const found = explainRequest(texts.flatMap(parseLogLines), request);
  if (found.length === 0) {
    context.printError(
      `no line names ${request}: it went well, or reached none of these VMs`,
    );
    return EXIT.failed;
  }
  return printResult(context, found, formatLogLines);
};
