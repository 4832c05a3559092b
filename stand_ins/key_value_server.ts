import {
  type StoredValue,
  StoreOutcomeUnknownError,
} from "../src/infrastructure/key_value_store.ts";
import type { MemoryStore } from "./memory_store.ts";
import {
  createStandInApplication,
  listen,
  type StandInServer,
} from "./stand_in_server.ts";

/// Serves a memory store over the subset of the etcd v3 JSON gateway that the
/// daemon uses.

interface TransactionBody {
  readonly compare?: readonly { key: string; mod_revision?: string }[];
  readonly success?: readonly {
    readonly requestPut?: { key: string; value: string; lease?: string };
    readonly requestDeleteRange?: { key: string };
  }[];
}

const decode = (text: string) => Buffer.from(text, "base64").toString();

function toMessage(value: StoredValue) {
  return {
    key: Buffer.from(value.key).toString("base64"),
    value: Buffer.from(value.value).toString("base64"),
    mod_revision: String(value.modifiedRevision),
    lease: value.lease,
  };
}

/// Serves the store on loopback, on `port` or by default on a free port.
export async function startKeyValueServer(
  memory: MemoryStore,
  port = 0,
): Promise<StandInServer> {
  const application = createStandInApplication();
  const store = memory.connect();

  application.setErrorHandler((error, _request, reply) => {
    if (error instanceof StoreOutcomeUnknownError) {
      return void reply.raw.destroy();
    }
    const message = error instanceof Error ? error.message : String(error);
    return reply.code(503).send({ message });
  });

  application.post("/v3/kv/range", async (request) => {
    const body = request.body as { key: string; range_end?: string };
    const key = decode(body.key);
    if (body.range_end) {
      const { values, revision } = await store.range(key);
      const kvs = values.map(toMessage);
      return { header: { revision: String(revision) }, kvs };
    }
    const found = await store.get(key);
    const kvs = found ? [toMessage(found)] : [];
    return { header: { revision: "0" }, kvs };
  });

  application.post("/v3/kv/txn", async (request) => {
    const body = request.body as TransactionBody;
    const comparisons = (body.compare ?? []).map((compare) => ({
      key: decode(compare.key),
      modifiedRevision: Number(compare.mod_revision ?? 0),
    }));
    const operations = (body.success ?? []).map(toOperation);
    const result = await store.transact(comparisons, operations);
    const header = { revision: String(result.revision) };
    return { header, succeeded: result.succeeded };
  });

  application.post("/v3/lease/grant", async (request) => {
    const body = request.body as { TTL: string };
    const lease = await store.grantLease(Number(body.TTL));
    return { ID: lease.id, TTL: String(lease.timeToLiveSeconds) };
  });

  application.post("/v3/lease/keepalive", async (request) => {
    const alive = await store.keepAlive((request.body as { ID: string }).ID);
    return { result: { TTL: alive ? "1" : "0" } };
  });

  application.post("/v3/lease/revoke", async (request) => {
    await store.revokeLease((request.body as { ID: string }).ID);
    return {};
  });

  application.post("/v3/watch", async (request, reply) => {
    const body = request.body as {
      create_request: { key: string; start_revision?: string };
    };
    const { key, start_revision } = body.create_request;
    const disconnected = new AbortController();
    reply.raw.once(
      "close",
      () => disconnected.abort(new Error("the watch client disconnected")),
    );
    reply.hijack();
    reply.raw.writeHead(200, { "content-type": "application/json" });
    reply.raw.write(JSON.stringify({ result: { created: true } }) + "\n");
    const after = Number(start_revision ?? 1) - 1;
    try {
      for await (
        const event of store.watch(decode(key), after, disconnected.signal)
      ) {
        const type = event.kind === "put" ? "PUT" : "DELETE";
        const events = [{ type, kv: toMessage(event.value) }];
        reply.raw.write(JSON.stringify({ result: { events } }) + "\n");
      }
    } finally {
      reply.raw.destroy();
    }
  });

  return await listen(application, port);
}

function toOperation(operation: NonNullable<TransactionBody["success"]>[0]) {
  const { requestPut, requestDeleteRange } = operation;
  if (requestPut) {
    return {
      kind: "put" as const,
      key: decode(requestPut.key),
      value: Buffer.from(requestPut.value ?? "", "base64"),
      lease: requestPut.lease,
    };
  }
  return { kind: "delete" as const, key: decode(requestDeleteRange!.key) };
}
