import { Pool } from "undici";
import { createConnector, NotConnectedError } from "../tunnels/connector.ts";
import type { UpstreamDialler } from "../tunnels/upstream_dialler.ts";
import { readBoundedBody } from "./bounded_body.ts";
import { createCheckedClient } from "./checked_client.ts";

/// Client of services that are not engines.

export interface ServiceCall {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly query: string;
  readonly contentType: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly body: Buffer | undefined;
}

export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

export interface ServiceClient {
  /// Throws `ServiceNotReachedError` if no byte was sent and
  /// `ServiceLostError` if the call may have been executed.
  send(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
  /// Whether the instance accepts connections now, from this VM or another one.
  /// If no VM could tell, it counts as accepting them.
  acceptsConnections(): Promise<boolean>;
}

/// No byte of the call reached the service, so it was not executed.
export class ServiceNotReachedError extends Error {
  override readonly name = "ServiceNotReachedError";
  /// Whether the service's VM responded that no process listens there.
  readonly hasEnded: boolean;
  constructor(
    message: string,
    options: ErrorOptions & { readonly hasEnded?: boolean } = {},
  ) {
    super(message, options);
    this.hasEnded = options.hasEnded ?? false;
  }
}

/// The call failed after it was sent, so it may have been executed.
export class ServiceLostError extends Error {
  override readonly name = "ServiceLostError";
}

export interface HttpServiceClient extends ServiceClient {
  close(): Promise<void>;
}

const MAXIMUM_CONNECTIONS = 64;
/// A longer answer has no end.
const MAXIMUM_ANSWER_BYTES = 67_108_864;

function toServiceError(error: unknown): Error {
  const reason = error instanceof Error ? error.message : String(error);
  if (error instanceof NotConnectedError) {
    const hasEnded = error.failure === "refused";
    return new ServiceNotReachedError(reason, { cause: error, hasEnded });
  }
  return new ServiceLostError(reason, { cause: error });
}

/// Creates a client of the service at `address`, which is `host:port`.
export function createHttpServiceClient(
  address: string,
  dialler: UpstreamDialler,
): HttpServiceClient {
  const pool = new Pool(`http://${address}`, {
    connections: MAXIMUM_CONNECTIONS,
    pipelining: 1,
    connect: createConnector(dialler, address),
    factory: createCheckedClient,
  });
  return {
    async send(call, signal) {
      const headers: Record<string, string> = {};
      if (call.contentType) headers["content-type"] = call.contentType;
      if (call.idempotencyKey) headers["idempotency-key"] = call.idempotencyKey;
      try {
        const response = await pool.request({
          method: call.method,
          path: call.path + call.query,
          headers,
          body: call.body,
          signal,
          // Answers don't identify their call, so each call uses a connection of
          // its own.
          reset: true,
        });
        const body = await readBoundedBody(
          response.body,
          MAXIMUM_ANSWER_BYTES,
        );
        const contentType = response.headers["content-type"];
        return {
          status: response.statusCode,
          contentType: String(contentType ?? "application/octet-stream"),
          body,
        };
      } catch (error) {
        throw toServiceError(error);
      }
    },
    async acceptsConnections() {
      const reachability = await dialler.check(address);
      return reachability !== "refuses" && reachability !== "silent";
    },
    close: () => pool.destroy(),
  };
}
