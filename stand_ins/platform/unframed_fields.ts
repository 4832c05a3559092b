/// The header fields of a response without a length, which ends when its
/// connection closes.
export function unframedFields(isStream: boolean): string[] {
  return isStream
    ? ["Content-Type: text/event-stream", "Connection: close"]
    : ["Connection: close"];
}
