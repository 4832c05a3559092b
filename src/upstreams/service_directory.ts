import type { ContractBook } from "../contracts/contract_book.ts";
import type { Upstream } from "../contracts/sheet.ts";
import { randomInteger, type RandomSource } from "../support/random.ts";
import type { ServiceClient } from "./service_client.ts";

/// One replica of a service and what this VM has running there.
export interface ServiceView {
  readonly upstream: Upstream;
  readonly client: ServiceClient;
  readonly outstandingCalls: number;
}

export interface ServiceDirectory {
  /// The less busy of two random replicas, none of `excluded`.
  choose(service: string, excluded: ReadonlySet<string>):
    | ServiceView
    | undefined;
  /// Counts a call; the returned function takes it off again.
  recordCall(name: string): () => void;
}

export interface ServiceDirectoryOptions {
  readonly book: ContractBook;
  readonly random: RandomSource;
  readonly createClient: (upstream: Upstream) => ServiceClient;
  /// Replicas that leave get no new calls.
  readonly isLeaving?: (upstream: Upstream) => boolean;
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
      const replicas = options.book.current()
        .upstreamsOf("service", service)
        .filter((upstream) =>
          !excluded.has(upstream.name) && !options.isLeaving?.(upstream)
        );
      if (replicas.length === 0) return undefined;
      const first = replicas[randomInteger(options.random, replicas.length)]!;
      const second = replicas[randomInteger(options.random, replicas.length)]!;
      const upstream = countOf(second.name) < countOf(first.name)
        ? second
        : first;
      return {
        upstream,
        client: clientOf(upstream),
        outstandingCalls: countOf(upstream.name),
      };
    },
    recordCall(name) {
      outstanding.set(name, countOf(name) + 1);
      return () => void outstanding.set(name, countOf(name) - 1);
    },
  };
}
