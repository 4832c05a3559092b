import {
  EXIT,
  show,
  type ToolCommand,
  ToolUsageError,
} from "./tool_command.ts";

/// The life of one request, from the log files of all VMs.

interface LogLine {
  readonly time: string;
  readonly vm?: string;
  readonly event: string;
  readonly request?: string;
  readonly [field: string]: unknown;
}

/// Fields that the head of a printed line shows already.
const HEAD_FIELDS = new Set([
  "time",
  "vm",
  "event",
  "request",
  "level",
  "area",
]);
/// Lines about what a VM believed, shown when they lie within this time before
/// the request's first line or after its last.
const CONTEXT_MILLISECONDS = 2_000;
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

/// Reads the JSON of log lines; whatever stands before it is left out.
export function parseLogLines(text: string): LogLine[] {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    if (start < 0) return [];
    try {
      const value = JSON.parse(line.slice(start)) as LogLine;
      return typeof value.event === "string" ? [value] : [];
    } catch {
      // Another program's line, or one that was cut.
      return [];
    }
  });
}

/// Lines of the request and, of the same VMs and upstreams, what changed
/// around it, in order of time.
export function explainRequest(
  lines: readonly LogLine[],
  request: string,
): LogLine[] {
  const own = lines.filter((line) => line.request === request);
  if (own.length === 0) return [];
  const times = own.map((line) => Date.parse(line.time));
  const took = Math.max(0, ...own.map((line) => Number(line["took"] ?? 0)));
  const from = Math.min(...times) - took - CONTEXT_MILLISECONDS;
  const to = Math.max(...times) + CONTEXT_MILLISECONDS;
  const vms = new Set(own.map((line) => line.vm));
  const upstreams = new Set(own.map((line) => line["upstream"]));
  const context = lines.filter((line) => {
    const time = Date.parse(line.time);
    if (line.request !== undefined || !CONTEXT_EVENTS.has(line.event)) {
      return false;
    }
    if (time < from || time > to || !vms.has(line.vm)) return false;
    if (!line.event.startsWith("upstream")) return true;
    const id = line["upstream"] ?? String(line["detail"]).split(" ")[0];
    return upstreams.has(id);
  });
  return [...own, ...context].sort((left, right) =>
    Date.parse(left.time) - Date.parse(right.time)
  );
}

function format(lines: readonly LogLine[]): string {
  return lines.map((line) => {
    const fields = Object.entries(line)
      .filter(([name]) => !HEAD_FIELDS.has(name))
      .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    const mark = line.request === undefined ? "  " : "> ";
    return `${mark}${line.time} ${line.vm ?? "-"} ${line.event}  ` +
      fields.join(" ");
  }).join("\n");
}

/// Prints what the logs say of a request: `explain ID FILE...`.
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
  return show(context, found, format);
};
