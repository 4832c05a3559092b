import {
  type EngineClient,
  EngineLostError,
  EngineNotReachedError,
} from "../src/upstreams/engine_client.ts";
import {
  type ServiceClient,
  ServiceLostError,
  ServiceNotReachedError,
} from "../src/upstreams/service_client.ts";

/// Clients of a VM that can be partitioned from upstreams: it opens no
/// connections, and what runs over earlier ones is lost.

const REFUSED = "the connection was refused";
const CLOSED = "the connection was closed";

/// Wraps the client of a service.
export function createPartitionedServiceClient(
  client: ServiceClient,
  isPartitioned: () => boolean,
): ServiceClient {
  return {
    async send(call, signal) {
      if (isPartitioned()) throw new ServiceNotReachedError(REFUSED);
      const answer = await client.send(call, signal);
      if (isPartitioned()) throw new ServiceLostError(CLOSED);
      return answer;
    },
    acceptsConnections: async () =>
      !isPartitioned() && await client.acceptsConnections(),
  };
}

/// Wraps the client of an engine.
export function createPartitionedEngineClient(
  client: EngineClient,
  isPartitioned: () => boolean,
): EngineClient {
  const requireConnected = () => {
    if (isPartitioned()) throw new EngineNotReachedError(REFUSED);
  };
  async function* receive<Chunk>(source: () => AsyncIterable<Chunk>) {
    requireConnected();
    for await (const chunk of source()) {
      if (isPartitioned()) throw new EngineLostError(CLOSED);
      yield chunk;
    }
  }
  return {
    ...client,
    complete: (call, signal) => receive(() => client.complete(call, signal)),
    resume: (streamId, position, signal) =>
      receive(() => client.resume(streamId, position, signal)),
    async load() {
      requireConnected();
      return await client.load();
    },
  };
}
