import type { ContractBook } from "../contracts/contract_book.ts";
import type { Upstream } from "../contracts/sheet.ts";
import { randomInteger, type RandomSource } from "../support/random.ts";
import type { ServiceClient } from "./service_client.ts";

/// One instance of a service, with the calls of this VM that run there.
export interface ServiceView {
  readonly upstream: Upstream;
  readonly client: ServiceClient;
  readonly outstandingCalls: number;
}

export interface ServiceDirectory {
  /// Chooses the one with fewer outstanding calls of two random instances.
  /// Instances in `excluded` are left out.
  choose(service: string, excluded: ReadonlySet<string>):
    | ServiceView
    | undefined;
  /// Returns the client of an instance; undefined if it isn't listed.
  clientOf(name: string): ServiceClient | undefined;
  /// Counts an outstanding call; the returned function removes it again.
  recordCall(name: string): () => void;
}

export interface ServiceDirectoryOptions {
  readonly book: ContractBook;
  readonly random: RandomSource;
  readonly createClient: (upstream: Upstream) => ServiceClient;
  /// Whether an upstream is draining; draining instances get no new calls.
  readonly isDraining?: (upstream: Upstream) => boolean;
}

export function createServiceDirectory(
  options: ServiceDirectoryOptions,
): ServiceDirectory {
  const clients = new Map<string, ServiceClient>();
  const outstanding = new Map<string, number>();

  const clientOf = (upstream: Upstream) => {
    const key = `${upstream.name} ${upstream.address}`;
    let client = clients.get(key);
    if (!client) {
      client = options.createClient(upstream);
      clients.set(key, client);
    }
    return client;
  };

  const countOf = (name: string) => outstanding.get(name) ?? 0;

  return {
    choose(service, excluded) {
      const instances = options.book.current()
        .upstreamsOf("service", service)
        .filter((upstream) =>
          !excluded.has(upstream.name) && !options.isDraining?.(upstream)
        );
      if (instances.length === 0) return undefined;
      const first = instances[randomInteger(options.random, instances.length)]!;
      const second =
        instances[randomInteger(options.random, instances.length)]!;
      const upstream = countOf(second.name) < countOf(first.name)
        ? second
        : first;
      return {
        upstream,
        client: clientOf(upstream),
        outstandingCalls: countOf(upstream.name),
      };
    },
    clientOf(name) {
      const { upstreams } = options.book.current().sheet;
      const upstream = upstreams.find((listed) =>
        listed.kind === "service" && listed.name === name
      );
      return upstream && clientOf(upstream);
    },
    recordCall(name) {
      outstanding.set(name, countOf(name) + 1);
      return () => void outstanding.set(name, countOf(name) - 1);
    },
  };
}
