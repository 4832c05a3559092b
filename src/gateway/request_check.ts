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

/// Returns why a request is refused whatever its route; undefined if it isn't.
export function findRequestFault(
  message: IncomingMessage,
  maximumHeaderBytes: number,
): RequestFault | undefined {
  if (headerBytes(message) > maximumHeaderBytes) {
    return { status: 431, reason: "the header is too large" };
  }
  return undefined;
}
