import type { AddressInfo } from "node:net";
import Fastify, { type FastifyInstance } from "fastify";

/// A stand-in that listens on a loopback port.
export interface StandInServer {
  /// `host:port`.
  readonly address: string;
  close(): Promise<void>;
}

const BODY_LIMIT_BYTES = 16_777_216;

/// Creates the HTTP application of a stand-in.
export function createStandInApplication(): FastifyInstance {
  return Fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
}

/// Starts the application on loopback, on `port` or by default on a free port.
export async function listen(
  application: FastifyInstance,
  port = 0,
): Promise<StandInServer> {
  await application.listen({ host: "127.0.0.1", port });
  const bound = application.server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${bound.port}`,
    close: () => application.close(),
  };
}
