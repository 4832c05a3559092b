import { Client } from "undici";
import {
  type CallOptions,
  type Comparison,
  type KeyValueStore,
  type StoredValue,
  StoreOutcomeUnknownError,
  StoreUnavailableError,
  type WatchEvent,
  type WriteOperation,
} from "./key_value_store.ts";

/// Timeout of a call for which the caller sets none.
const DEFAULT_TIMEOUT_MILLISECONDS = 2_000;
/// Calls that may wait for responses on one connection.
const MAXIMUM_PIPELINED_CALLS = 32;

const encode = (text: string) => Buffer.from(text, "utf8").toString("base64");
const decodeText = (text: string) => Buffer.from(text, "base64").toString();

/// Returns the first key after all keys that start with `prefix`, the exclusive
/// end of a range.
function prefixEnd(prefix: string): Buffer {
  const bytes = Buffer.from(prefix, "utf8");
  bytes[bytes.length - 1]! += 1;
  return bytes;
}

interface KeyValueMessage {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision?: string;
  readonly lease?: string;
}

interface RangeMessage {
  readonly header: { readonly revision: string };
  readonly kvs?: readonly KeyValueMessage[];
}

interface TransactionMessage {
  readonly header: { readonly revision: string };
  readonly succeeded?: boolean;
}

interface WatchMessage {
  readonly result?: {
    readonly events?: readonly {
      readonly type?: string;
      readonly kv: KeyValueMessage;
    }[];
  };
  readonly error?: { readonly message: string };
}

function toStoredValue(message: KeyValueMessage): StoredValue {
  return {
    key: decodeText(message.key),
    value: Buffer.from(message.value ?? "", "base64"),
    modifiedRevision: Number(message.mod_revision ?? 0),
    lease: message.lease ?? "0",
  };
}

function toCompare(comparison: Comparison) {
  return {
    key: encode(comparison.key),
    target: "MOD",
    result: "EQUAL",
    mod_revision: String(comparison.modifiedRevision),
  };
}

function toOperation(operation: WriteOperation) {
  const key = encode(operation.key);
  if (operation.kind === "delete") return { requestDeleteRange: { key } };
  const value = Buffer.from(operation.value).toString("base64");
  return { requestPut: { key, value, lease: operation.lease ?? "0" } };
}

export interface EtcdStore extends KeyValueStore {
  close(): Promise<void>;
}

/// Creates a client of the etcd v3 JSON gateway at `origin`, for example
/// `http://127.0.0.1:2379`.
export function createEtcdStore(origin: string): EtcdStore {
  const callConnection = new Client(origin, {
    pipelining: MAXIMUM_PIPELINED_CALLS,
  });
  const watchConnections = new Set<Client>();

  const post = async (path: string, body: object, options?: CallOptions) => {
    const timeoutMilliseconds = options?.timeoutMilliseconds ??
      DEFAULT_TIMEOUT_MILLISECONDS;
    const timeoutSignal = AbortSignal.timeout(timeoutMilliseconds);
    const signal = options?.signal
      ? AbortSignal.any([options.signal, timeoutSignal])
      : timeoutSignal;
    const response = await callConnection.request({
      path,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      signal,
    });
    if (response.statusCode !== 200) {
      const text = await response.body.text();
      throw new StoreUnavailableError(`${response.statusCode} ${text}`);
    }
    return await response.body.json();
  };

  const read = async (path: string, body: object, options?: CallOptions) => {
    try {
      return await post(path, body, options);
    } catch (error) {
      if (error instanceof StoreUnavailableError) throw error;
      throw new StoreUnavailableError("the store did not answer", {
        cause: error,
      });
    }
  };

  const write = async (path: string, body: object, options?: CallOptions) => {
    try {
      return await post(path, body, options);
    } catch (error) {
      if (error instanceof StoreUnavailableError) throw error;
      if ((error as { code?: string }).code === "ECONNREFUSED") {
        throw new StoreUnavailableError("the store refused the connection", {
          cause: error,
        });
      }
      throw new StoreOutcomeUnknownError("a write was not answered", {
        cause: error,
      });
    }
  };

  return {
    async get(key, options) {
      const body = { key: encode(key) };
      const response = await read(
        "/v3/kv/range",
        body,
        options,
      ) as RangeMessage;
      const found = response.kvs?.[0];
      return found && toStoredValue(found);
    },
    async range(prefix, options) {
      const body = {
        key: encode(prefix),
        range_end: prefixEnd(prefix).toString("base64"),
      };
      const response = await read(
        "/v3/kv/range",
        body,
        options,
      ) as RangeMessage;
      return {
        values: (response.kvs ?? []).map(toStoredValue),
        revision: Number(response.header.revision),
      };
    },
    async transact(comparisons, operations, options) {
      const body = {
        compare: comparisons.map(toCompare),
        success: operations.map(toOperation),
      };
      const response = await write(
        "/v3/kv/txn",
        body,
        options,
      ) as TransactionMessage;
      return {
        succeeded: response.succeeded ?? false,
        revision: Number(response.header.revision),
      };
    },
    async grantLease(seconds, options) {
      const body = { TTL: String(seconds), ID: "0" };
      const response = await read("/v3/lease/grant", body, options) as {
        ID: string;
        TTL: string;
      };
      return { id: response.ID, timeToLiveSeconds: Number(response.TTL) };
    },
    async keepAlive(leaseId, options) {
      const body = { ID: leaseId };
      const response = await read("/v3/lease/keepalive", body, options) as {
        result: { TTL?: string };
      };
      return Number(response.result.TTL ?? 0) > 0;
    },
    async revokeLease(leaseId, options) {
      await read("/v3/lease/revoke", { ID: leaseId }, options);
    },
    async *watch(prefix, revision, signal) {
      const connection = new Client(origin, { bodyTimeout: 0 });
      watchConnections.add(connection);
      try {
        yield* readWatch(connection, prefix, revision, signal);
      } catch (error) {
        if (signal.aborted) return;
        throw new StoreUnavailableError("the watch broke", { cause: error });
      } finally {
        watchConnections.delete(connection);
        connection.destroy().catch(() => {});
      }
    },
    async close() {
      for (const connection of watchConnections) await connection.destroy();
      await callConnection.destroy();
    },
  };
}

async function* readWatch(
  connection: Client,
  prefix: string,
  revision: number,
  signal: AbortSignal,
): AsyncIterable<WatchEvent> {
  const request = {
    key: encode(prefix),
    range_end: prefixEnd(prefix).toString("base64"),
    start_revision: String(revision + 1),
  };
  const response = await connection.request({
    path: "/v3/watch",
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ create_request: request }),
    signal,
  });
  let remainder = "";
  for await (const chunk of response.body) {
    const lines = (remainder + chunk).split("\n");
    remainder = lines.pop() ?? "";
    for (const line of lines) {
      if (line !== "") yield* toWatchEvents(JSON.parse(line) as WatchMessage);
    }
  }
  throw new StoreUnavailableError("the store ended the watch");
}

function toWatchEvents(message: WatchMessage): WatchEvent[] {
  if (message.error) throw new StoreUnavailableError(message.error.message);
  return (message.result?.events ?? []).map((event) => ({
    kind: event.type === "DELETE" ? "delete" : "put",
    value: toStoredValue(event.kv),
  }));
}
