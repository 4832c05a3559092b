/// Whether the framing of a response marks the end of its body. A response
/// without a length ends when its connection closes, unless it has no body.
export function isFramedResponse(
  method: string,
  { status, headers }: {
    readonly status: number;
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  },
): boolean {
  return method === "HEAD" || status === 204 || status === 304 ||
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
