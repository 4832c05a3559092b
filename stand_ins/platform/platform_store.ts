import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/// Stand-in for the platform's metadata store: items, leases, watches and
/// conditional writes over HTTP, with outages that tests switch on.

interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Revision: number;
  readonly CreateRevision: number;
  readonly Lease: number;
}

type StoreEvent = Item | { Key: string; Revision: number; Removed: true };

/// How the store treats calls; `deaf_watches` accepts watches and tells them
/// nothing.
export type StoreMode = "serving" | "busy" | "silent" | "deaf_watches";

/// An address of the store for one VM, which can be treated apart.
export interface StoreEndpoint {
  readonly address: string;
  setMode(mode: StoreMode): void;
}

export interface PlatformStore {
  /// Opens a further address.
  openEndpoint(): Promise<StoreEndpoint>;
  /// Writes a value as the operator or a runner does.
  put(key: string, value: unknown): void;
  remove(key: string): void;
  get(key: string): unknown;
  /// Forgets the history up to now, so that older watches get 410.
  compact(): void;
  /// Calls by path, without the query.
  callCounts(): ReadonlyMap<string, number>;
  close(): void;
}

const encode = (value: unknown) =>
  Buffer.from(JSON.stringify(value)).toString("base64");

async function readBody(request: IncomingMessage): Promise<string> {
  const pieces: Buffer[] = [];
  for await (const piece of request) pieces.push(piece as Buffer);
  return Buffer.concat(pieces).toString("utf8");
}

export function createPlatformStore(): PlatformStore {
  const items = new Map<string, Item>();
  const calls = new Map<string, number>();
  const waiting = new Set<() => void>();
  let history: StoreEvent[] = [];
  let oldest = 0;
  let revision = 1;
  let nextLease = 1;
  const servers: Server[] = [];

  const record = (event: StoreEvent) => {
    history.push(event);
    for (const wake of [...waiting]) wake();
  };
  const write = (key: string, value: string, lease = 0) => {
    revision += 1;
    const item: Item = {
      Key: key,
      Value: value,
      Revision: revision,
      CreateRevision: items.get(key)?.CreateRevision ?? revision,
      Lease: lease,
    };
    items.set(key, item);
    record(item);
  };
  const remove = (key: string) => {
    if (!items.delete(key)) return;
    revision += 1;
    record({ Key: key, Revision: revision, Removed: true });
  };

  const reply = (response: ServerResponse, status: number, body?: unknown) => {
    response.writeHead(status, { "Content-Type": "application/json" });
    response.end(body === undefined ? undefined : JSON.stringify(body));
  };

  const watch = (
    query: URLSearchParams,
    response: ServerResponse,
    isDeaf: () => boolean,
  ) => {
    const prefix = query.get("Prefix") ?? "";
    const after = Number(query.get("After"));
    if (after < oldest) return reply(response, 410);
    const answer = () => {
      const events = isDeaf()
        ? []
        : history.filter((event) =>
          event.Revision > after && event.Key.startsWith(prefix)
        );
      if (events.length === 0) return false;
      reply(response, 200, { events, StoreRevision: revision });
      return true;
    };
    if (answer()) return;
    const end = () => {
      waiting.delete(wake);
      clearTimeout(timer);
    };
    const wake = () => {
      if (answer()) end();
    };
    const timer = setTimeout(() => {
      end();
      reply(response, 200, { events: [], StoreRevision: after });
    }, Number(query.get("WaitMs")));
    waiting.add(wake);
    response.on("close", end);
  };

  const transact = (text: string, response: ServerResponse) => {
    const body = JSON.parse(text) as {
      Expected: { Key: string; Revision: number }[];
      Writes: { Key: string; Value: string; Lease: number }[];
      Delete: string[];
    };
    const isMet = body.Expected.every(({ Key, Revision }) =>
      (items.get(Key)?.Revision ?? 0) === Revision
    );
    if (!isMet) return reply(response, 412, { Items: [] });
    for (const { Key, Value, Lease } of body.Writes) write(Key, Value, Lease);
    body.Delete.forEach(remove);
    reply(response, 200, { Revision: revision });
  };

  const handle = async (
    request: IncomingMessage,
    response: ServerResponse,
    mode: () => StoreMode,
  ) => {
    const url = new URL(request.url!, "http://store");
    const call = url.pathname.replace("/sequoiaturn/", "").split("/")[0]!;
    calls.set(call, (calls.get(call) ?? 0) + 1);
    const text = await readBody(request);
    if (mode() === "silent") return;
    if (mode() === "busy") return reply(response, 503);
    const query = url.searchParams;
    if (call === "kv-range") {
      const prefix = query.get("Prefix") ?? "";
      const found = [...items.values()]
        .filter(({ Key }) => Key.startsWith(prefix))
        .sort((left, right) => left.Key < right.Key ? -1 : 1);
      const page = { Items: found, HasMore: false, StoreRevision: revision };
      return reply(response, 200, page);
    }
    if (call === "kv-watch") {
      return watch(query, response, () => mode() === "deaf_watches");
    }
    if (call === "kv-txn") return transact(text, response);
    if (call === "kv-lease") {
      const { TtlMs } = JSON.parse(text) as { TtlMs: number };
      return reply(response, 200, { Lease: nextLease++, TtlMs });
    }
    if (call === "kv-keep") return reply(response, 200, { TtlMs: 10_000 });
    if (call === "kv-lease-end") {
      const lease = Number(url.pathname.split("/").at(-1));
      for (const { Key, Lease } of [...items.values()]) {
        if (Lease === lease) remove(Key);
      }
      return reply(response, 200, {});
    }
    reply(response, 404);
  };

  const openDoor = async (): Promise<StoreEndpoint> => {
    let mode: StoreMode = "serving";
    const server = createServer((request, response) => {
      handle(request, response, () => mode).catch(() => response.destroy());
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = server.address() as AddressInfo;
    return {
      address: `127.0.0.1:${port}`,
      setMode(next) {
        mode = next;
        if (next !== "busy") return;
        // Watches that wait are cut too.
        server.closeAllConnections();
      },
    };
  };

  return {
    openEndpoint: openDoor,
    put: (key, value) => write(key, encode(value)),
    remove,
    get(key) {
      const item = items.get(key);
      return item &&
        JSON.parse(Buffer.from(item.Value, "base64").toString("utf8"));
    },
    compact() {
      oldest = revision;
      history = [];
    },
    callCounts: () => calls,
    close() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
