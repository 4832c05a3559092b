/// Reads the responses that a caller received on one connection.

export interface CallerAnswer {
  readonly status: number;
  /// Field lines.
  readonly fields: string;
  readonly body: string;
}

export interface CallerAnswers {
  readonly complete: readonly CallerAnswer[];
  /// What follows the last complete response.
  readonly rest: string;
}

interface Body {
  readonly body: string;
  readonly end: number;
}

function readChunks(text: string, start: number): Body | undefined {
  let body = "";
  let at = start;
  while (true) {
    const lineEnd = text.indexOf("\r\n", at);
    if (lineEnd < 0) return undefined;
    const size = parseInt(text.slice(at, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (!(text.length >= end)) return undefined;
    if (size === 0) return { body, end };
    body += text.slice(lineEnd + 2, end - 2);
    at = end;
  }
}

function readBody(
  text: string,
  start: number,
  fields: string,
): Body | undefined {
  if (/^transfer-encoding: chunked\r?$/im.test(fields)) {
    return readChunks(text, start);
  }
  const length = /^content-length: (\d+)\r?$/im.exec(fields)?.[1] ?? "0";
  const end = start + Number(length);
  if (text.length < end) return undefined;
  return { body: text.slice(start, end), end };
}

/// Splits what was received into responses, by their framing.
export function readAnswers(received: string): CallerAnswers {
  const complete: CallerAnswer[] = [];
  let at = 0;
  while (true) {
    const headEnd = received.indexOf("\r\n\r\n", at);
    if (headEnd < 0) break;
    const [line = "", ...fields] = received.slice(at, headEnd).split("\r\n");
    const status = /^HTTP\/1\.1 (\d{3}) /.exec(line)?.[1];
    if (status === undefined) break;
    const text = fields.join("\r\n");
    const read = readBody(received, headEnd + 4, text);
    if (!read) break;
    complete.push({ status: Number(status), fields: text, body: read.body });
    at = read.end;
  }
  return { complete, rest: received.slice(at) };
}
