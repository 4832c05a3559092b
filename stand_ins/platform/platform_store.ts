import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { processHost } from "../process_host.ts";

/// Stand-in for the platform's metadata store: items, leases, watches and
/// conditional writes over HTTP, with failures that tests enable.

interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Revision: number;
  readonly CreateRevision: number;
  readonly Lease: number;
}

type StoreEvent = Item | { Key: string; Revision: number; Removed: true };

/// How the store handles calls: `busy` answers 503, `silent` never answers, and
/// `deaf_watches` accepts watches but sends them no events.
export type StoreMode = "serving" | "busy" | "silent" | "deaf_watches";

/// An address of the store for one VM, with a mode of its own.
export interface StoreEndpoint {
  readonly address: string;
  setMode(mode: StoreMode): void;
}

export interface PlatformStore {
  /// Opens another address.
  openEndpoint(): Promise<StoreEndpoint>;
  /// Writes a value as the operator or an upstream does: bytes as they are, other
  /// values as JSON.
  put(key: string, value: unknown): void;
  remove(key: string): void;
  get(key: string): unknown;
  /// Drops the history up to the current revision. Watches that start before
  /// it get 410.
  compact(): void;
  /// Returns a copy of the contents.
  copy(): StoreCopy;
  /// Replaces the contents with an earlier copy, and closes all connections until
  /// that is done. Revisions after the copy are given out again, and watches from
  /// them get 410.
  restore(copy: StoreCopy): Promise<void>;
  /// Number of calls by path, without the query.
  callCounts(): ReadonlyMap<string, number>;
  close(): void;
}

/// A copy of the store's contents at a revision.
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly leases: ReadonlySet<number>;
  readonly revision: number;
}

/// Time for which the store is away while it is restored.
const RESTORE_MILLISECONDS = 400;

const encode = (value: unknown) =>
  (value instanceof Uint8Array
    ? Buffer.from(value)
    : Buffer.from(JSON.stringify(value))).toString("base64");

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

export function createPlatformStore(): PlatformStore {
  const items = new Map<string, Item>();
  const callCounts = new Map<string, number>();
  const waitingWatches = new Set<() => void>();
  let history: StoreEvent[] = [];
  let compactedRevision = 0;
  let revision = 1;
  let era = 1;
  let isAway = false;
  let nextLease = 1;
  let leases = new Set<number>();
  const servers: Server[] = [];

  const record = (event: StoreEvent) => {
    history.push(event);
    for (const wake of [...waitingWatches]) wake();
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
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Store-Era": String(era),
    });
    response.end(body === undefined ? undefined : JSON.stringify(body));
  };

  const watch = (
    query: URLSearchParams,
    response: ServerResponse,
    isSuppressed: () => boolean,
  ) => {
    const prefix = query.get("Prefix") ?? "";
    const after = Number(query.get("After"));
    if (after < compactedRevision || after > revision) {
      return reply(response, 410);
    }
    const respondWithEvents = () => {
      const events = isSuppressed()
        ? []
        : history.filter((event) =>
          event.Revision > after && event.Key.startsWith(prefix)
        );
      if (events.length === 0) return false;
      reply(response, 200, { events, StoreRevision: revision });
      return true;
    };
    if (respondWithEvents()) return;
    const end = () => {
      waitingWatches.delete(wake);
      clearTimeout(timer);
    };
    const wake = () => {
      if (respondWithEvents()) end();
    };
    const timer = setTimeout(() => {
      end();
      reply(response, 200, { events: [], StoreRevision: after });
    }, Number(query.get("WaitMs")));
    waitingWatches.add(wake);
    response.on("close", end);
  };

  const transact = (text: string, response: ServerResponse) => {
    const body = JSON.parse(text) as {
      Expected: { Key: string; Revision: number }[];
      Writes: { Key: string; Value: string; Lease: number }[];
      Delete: string[];
    };
    const conditionsHold = body.Expected.every(({ Key, Revision }) =>
      (items.get(Key)?.Revision ?? 0) === Revision
    );
    if (!conditionsHold) return reply(response, 412, { Items: [] });
    if (body.Writes.some(({ Lease }) => Lease !== 0 && !leases.has(Lease))) {
      return reply(response, 404);
    }
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
    callCounts.set(call, (callCounts.get(call) ?? 0) + 1);
    const text = await readBody(request);
    if (isAway) return void response.destroy();
    if (mode() === "silent") return;
    if (mode() === "busy") return reply(response, 503);
    const query = url.searchParams;
    if (call === "kv-range") {
      const prefix = query.get("Prefix") ?? "";
      const matching = [...items.values()]
        .filter(({ Key }) => Key.startsWith(prefix))
        .sort((left, right) => left.Key < right.Key ? -1 : 1);
      const page = { Items: matching, HasMore: false, StoreRevision: revision };
      return reply(response, 200, page);
    }
    if (call === "kv-watch") {
      return watch(query, response, () => mode() === "deaf_watches");
    }
    if (call === "kv-txn") return transact(text, response);
    if (call === "kv-lease") {
      const { TtlMs } = JSON.parse(text) as { TtlMs: number };
      leases.add(nextLease);
      return reply(response, 200, { Lease: nextLease++, TtlMs });
    }
    const lease = Number(url.pathname.split("/").at(-1));
    if (call === "kv-keep") {
      return leases.has(lease)
        ? reply(response, 200, { TtlMs: 10_000 })
        : reply(response, 404);
    }
    if (call === "kv-lease-end") {
      leases.delete(lease);
      for (const { Key, Lease } of [...items.values()]) {
        if (Lease === lease) remove(Key);
      }
      return reply(response, 200, {});
    }
    reply(response, 404);
  };

  const openEndpoint = async (): Promise<StoreEndpoint> => {
    const host = processHost();
    let mode: StoreMode = "serving";
    const server = createServer((request, response) => {
      handle(request, response, () => mode).catch(() => response.destroy());
    });
    servers.push(server);
    await new Promise<void>((resolve) =>
      server.listen(0, host, () => resolve())
    );
    const { port } = server.address() as AddressInfo;
    return {
      address: `${host}:${port}`,
      setMode(next) {
        mode = next;
        if (next !== "busy") return;
        // Waiting watches are disconnected, too.
        server.closeAllConnections();
      },
    };
  };

  return {
    openEndpoint,
    put: (key, value) => write(key, encode(value)),
    remove,
    get(key) {
      const item = items.get(key);
      return item &&
        JSON.parse(Buffer.from(item.Value, "base64").toString("utf8"));
    },
    copy: () => ({ items: new Map(items), leases: new Set(leases), revision }),
    async restore(copy) {
      isAway = true;
      for (const server of servers) server.closeAllConnections();
      await new Promise((resolve) => setTimeout(resolve, RESTORE_MILLISECONDS));
      isAway = false;
      era += 1;
      items.clear();
      for (const [key, item] of copy.items) items.set(key, item);
      leases = new Set(copy.leases);
      revision = copy.revision;
      history = history.filter(({ Revision }) => Revision <= revision);
    },
    compact() {
      compactedRevision = revision;
      history = [];
    },
    callCounts: () => callCounts,
    close() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
