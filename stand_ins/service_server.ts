import {
  type ServiceCall,
  ServiceLostError,
  ServiceNotReachedError,
} from "../src/upstreams/service_client.ts";
import type { ServiceModel } from "./service_model.ts";
import {
  createStandInApplication,
  listen,
  type StandInServer,
} from "./stand_in_server.ts";

/// Serves one replica of a service model on a loopback port.
export async function startServiceServer(
  model: ServiceModel,
): Promise<StandInServer> {
  const application = createStandInApplication();
  const client = model.connect();
  const { signal } = new AbortController();

  application.setErrorHandler((error, _request, reply) => {
    const mustDisconnect = error instanceof ServiceLostError ||
      error instanceof ServiceNotReachedError;
    if (mustDisconnect) return void reply.raw.destroy();
    return reply.code(500).send({ error: String(error) });
  });

  application.route({
    method: ["GET", "POST"],
    url: "/*",
    handler: async (request, reply) => {
      const [path, query] = request.url.split("?", 2);
      const key = request.headers["idempotency-key"];
      const call: ServiceCall = {
        method: request.method as ServiceCall["method"],
        path: path!,
        query: query === undefined ? "" : `?${query}`,
        contentType: request.headers["content-type"],
        idempotencyKey: key === undefined ? undefined : String(key),
        body: undefined,
      };
      const answer = await client.send(call, signal);
      reply.code(answer.status).type(answer.contentType);
      return reply.send(answer.body);
    },
  });

  return await listen(application);
}
