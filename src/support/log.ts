import debug from "debug";

/// Fields that identify the subject of a log line. They must not contain prompt
/// text or keys.
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/// Writes structured log lines.
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  /// Returns a logger that adds `fields` to every line.
  with(fields: LogFields): Logger;
}

/// Creates a logger that writes one JSON object per line to standard error,
/// through the `debug` namespace `sequoiaturn:<area>`. The environment variable
/// `DEBUG` selects the namespaces that are printed.
export function createLogger(area: string, base: LogFields = {}): Logger {
  return createDebugLogger(area, base, debug(`sequoiaturn:${area}`));
}

/// Creates a logger of the changes that operators make. It writes to standard
/// error and is enabled whatever `DEBUG` selects.
export function createAuditLogger(base: LogFields): Logger {
  const debugLog = debug("sequoiaturn:audit");
  debugLog.enabled = true;
  return createDebugLogger("audit", base, debugLog);
}

/// Writes complete lines and never blocks.
export interface LineSink {
  write(line: string): void;
  /// Number of lines dropped because the reader was slow or had failed.
  dropped(): number;
}

/// A stream that buffers data until its reader consumes it.
export interface BufferingStream {
  readonly writableLength: number;
  write(text: string): boolean;
  on(event: "error", listener: (error: Error) => void): unknown;
}

/// Lines are dropped while the stream buffers more than this.
const MAXIMUM_BUFFERED_LOG_BYTES = 262_144;

/// Creates a sink that writes to `stream`. It drops lines while too many bytes
/// are buffered there, and after an error of the stream. When the buffer has
/// room again, it first writes a line with the number of dropped lines.
export function createLineSink(stream: BufferingStream): LineSink {
  let dropped = 0;
  /// Dropped lines that the log doesn't mention yet.
  let missing = 0;
  let hasFailed = false;
  // The gateway keeps processing requests if the reader of the log fails.
  stream.on("error", () => void (hasFailed = true));
  return {
    write(line) {
      if (hasFailed || stream.writableLength > MAXIMUM_BUFFERED_LOG_BYTES) {
        dropped += 1;
        missing += 1;
        return;
      }
      if (missing > 0) {
        const notice = { level: "warn", event: "log lines dropped", missing };
        stream.write(JSON.stringify(notice) + "\n");
        missing = 0;
      }
      stream.write(line + "\n");
    },
    dropped: () => dropped,
  };
}

/// Creates a logger that writes to `sink` and is enabled whatever `DEBUG`
/// selects.
export function createSinkLogger(
  area: string,
  base: LogFields,
  sink: LineSink,
): Logger {
  const debugLog = debug(`sequoiaturn:${area}`);
  debugLog.enabled = true;
  return createDebugLogger(area, base, debugLog, sink.write);
}

function createDebugLogger(
  area: string,
  base: LogFields,
  debugLog: debug.Debugger,
  writeLine: (line: string) => void = (line) =>
    void process.stderr.write(line + "\n"),
): Logger {
  debugLog.log = writeLine;
  (debugLog as unknown as { useColors: boolean }).useColors = false;
  const write = (level: string, event: string, fields?: LogFields) => {
    if (!debugLog.enabled) return;
    const time = new Date().toISOString();
    const line = { time, level, area, event, ...base, ...fields };
    debugLog.log(JSON.stringify(line));
  };
  return {
    info: (event, fields) => write("info", event, fields),
    warn: (event, fields) => write("warn", event, fields),
    with: (fields) =>
      createDebugLogger(area, { ...base, ...fields }, debugLog, writeLine),
  };
}

/// Creates a logger that writes nothing, for measurements and tests.
export function createSilentLogger(): Logger {
  const silent: Logger = {
    info: () => {},
    warn: () => {},
    with: () => silent,
  };
  return silent;
}
