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

function createLoggerOf(
  area: string,
  base: LogFields,
  print: debug.Debugger,
): Logger {
  print.log = (line: string) => void process.stderr.write(line + "\n");
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
    with: (fields) => createLoggerOf(area, { ...base, ...fields }, print),
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
