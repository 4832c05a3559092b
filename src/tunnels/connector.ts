import type { Socket } from "node:net";
import type { buildConnector } from "undici";
import type { DialFailure } from "./dial.ts";
import type { UpstreamDialler } from "./upstream_dialler.ts";

/// The connection to an upstream could not be opened, so nothing was sent.
export class NotConnectedError extends Error {
  override readonly name = "NotConnectedError";
  readonly failure: DialFailure;
  constructor(reason: string, failure: DialFailure) {
    super(reason);
    this.failure = failure;
  }
}

/// Returns the function by which a pool of undici opens connections to an
/// address. It fails with `NotConnectedError`.
export function createConnector(
  dialler: UpstreamDialler,
  address: string,
): buildConnector.connector {
  return (_options, callback) =>
    dialler.dial(address, (result) => {
      if (result.kind === "connected") {
        // undici uses it as a stream.
        return callback(null, result.socket as Socket);
      }
      callback(new NotConnectedError(result.reason, result.failure), null);
    });
}
