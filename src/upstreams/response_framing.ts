/// Whether the framing of a response marks the end of its body. A response
/// without a length ends when its connection closes.
export function isFramedResponse(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
): boolean {
  return status === 204 || status === 304 ||
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}
