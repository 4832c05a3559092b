import type { IncomingMessage } from "node:http";

/// What the HTTP parser lets pass and callers may not send.

export interface RequestFault {
  readonly status: number;
  readonly reason: string;
}

/// Size of a request's target and header fields, as the parser counts it.
function headerBytes({ url = "", rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, { length }) => sum + length, url.length);
}

function countFields({ rawHeaders }: IncomingMessage, name: string): number {
  return rawHeaders.filter((field, index) =>
    index % 2 === 0 && field.toLowerCase() === name
  ).length;
}

/// Returns why a request is refused whatever its route; undefined if it isn't.
export function findRequestFault(
  message: IncomingMessage,
  maximumHeaderBytes: number,
): RequestFault | undefined {
  if (headerBytes(message) > maximumHeaderBytes) {
    return { status: 431, reason: "the header is too large" };
  }
  if (countFields(message, "host") > 1) {
    return { status: 400, reason: "more than one host" };
  }
  if (/[^\x21-\xff]/.test(message.url ?? "")) {
    return { status: 400, reason: "the target has a control character" };
  }
  return undefined;
}
