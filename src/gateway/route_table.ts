import type { Milliseconds } from "../support/clock.ts";
import type {
  Configuration,
  Customer,
  Route,
  Service,
} from "./configuration.ts";

/// A configuration with indexes for the lookups that each request needs.
export interface RouteTable {
  readonly configuration: Configuration;
  /// Returns the route of `host` with the longest prefix of `path`.
  findRoute(host: string, path: string): Route | undefined;
  service(name: string): Service | undefined;
  /// Returns the smallest event gap objective among the stream routes of a
  /// service; Infinity if there are none.
  shortestEventGap(service: string): Milliseconds;
  /// Returns the customer that `key` belongs to.
  findCustomer(key: string): Customer | undefined;
}

export function createRouteTable(configuration: Configuration): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  const eventGaps = new Map<string, Milliseconds>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    const routes = byHost.get(host) ?? new Map<string, Route>();
    byHost.set(host, routes);
    routes.set(route.prefix, route);
    if (route.kind !== "stream") continue;
    for (const { service } of route.targets) {
      const shortest = eventGaps.get(service) ?? Infinity;
      eventGaps.set(service, Math.min(shortest, route.pauseMilliseconds));
    }
  }
  const services = new Map(
    configuration.services.map((service) => [service.name, service]),
  );
  const customers = new Map<string, Customer>();
  for (const customer of configuration.customers ?? []) {
    for (const key of customer.keys) customers.set(key, customer);
  }
  return {
    configuration,
    findRoute(host, path) {
      const routes = byHost.get(host.toLowerCase());
      if (!routes) return undefined;
      // Prefixes end with a slash, so only the parts of the path up to a slash
      // can match.
      for (
        let end = path.lastIndexOf("/");
        end >= 0;
        end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)
      ) {
        const route = routes.get(path.slice(0, end + 1));
        if (route) return route;
      }
      return undefined;
    },
    service: (name) => services.get(name),
    shortestEventGap: (service) => eventGaps.get(service) ?? Infinity,
    findCustomer: (key) => customers.get(key),
  };
}
