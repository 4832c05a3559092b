import debug from "debug";

/// Values that identify what a log line is about. Prompt text and keys never
/// belong here.
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/// Writes structured log lines.
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  /// A logger that adds `fields` to every line.
  with(fields: LogFields): Logger;
}

/// Writes one JSON object a line to standard error through the `debug`
/// namespaces `sequoiaturn:<area>`; `DEBUG` selects what is printed.
export function createLogger(area: string, base: LogFields = {}): Logger {
  return createLoggerOf(area, base, debug(`sequoiaturn:${area}`));
}

/// A logger of the changes that operators make, which is always on.
export function createAuditLogger(base: LogFields): Logger {
  const print = debug("sequoiaturn:audit");
  print.enabled = true;
  return createLoggerOf("audit", base, print);
}

/// Takes whole lines and never makes the writer wait.
export interface LineSink {
  write(line: string): void;
  /// Lines that were dropped because the reader was slow.
  dropped(): number;
}

/// A stream that buffers what its reader has not taken yet.
export interface BufferingStream {
  readonly writableLength: number;
  write(text: string): boolean;
  on(event: "error", listener: (error: Error) => void): unknown;
}

/// Bytes of lines that may wait for a slow reader.
const WAITING_LOG_BYTES = 262_144;

/// Writes lines to `stream` and drops them while too many wait there. The
/// first line behind a gap says how many are missing.
export function createLineSink(stream: BufferingStream): LineSink {
  let dropped = 0;
  let missing = 0;
  let isBroken = false;
  // The reader of the log has gone; requests go on without one.
  stream.on("error", () => void (isBroken = true));
  return {
    write(line) {
      if (isBroken || stream.writableLength > WAITING_LOG_BYTES) {
        dropped += 1;
        missing += 1;
        return;
      }
      if (missing > 0) {
        const gap = { level: "warn", event: "log lines dropped", missing };
        stream.write(JSON.stringify(gap) + "\n");
        missing = 0;
      }
      stream.write(line + "\n");
    },
    dropped: () => dropped,
  };
}

/// A logger of decisions, which is always on and writes to `sink`.
export function createSinkLogger(
  area: string,
  base: LogFields,
  sink: LineSink,
): Logger {
  const print = debug(`sequoiaturn:${area}`);
  print.enabled = true;
  return createLoggerOf(area, base, print, sink.write);
}

function createLoggerOf(
  area: string,
  base: LogFields,
  print: debug.Debugger,
  writeLine: (line: string) => void = (line) =>
    void process.stderr.write(line + "\n"),
): Logger {
  print.log = writeLine;
  (print as unknown as { useColors: boolean }).useColors = false;
  const write = (level: string, event: string, fields?: LogFields) => {
    if (!print.enabled) return;
    const time = new Date().toISOString();
    const line = { time, level, area, event, ...base, ...fields };
    print.log(JSON.stringify(line));
  };
  return {
    info: (event, fields) => write("info", event, fields),
    warn: (event, fields) => write("warn", event, fields),
    with: (fields) =>
      createLoggerOf(area, { ...base, ...fields }, print, writeLine),
  };
}

/// A logger that writes nothing, for measurements and tests.
export function createSilentLogger(): Logger {
  const silent: Logger = {
    info: () => {},
    warn: () => {},
    with: () => silent,
  };
  return silent;
}
