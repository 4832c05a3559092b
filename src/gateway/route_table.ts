import type { Milliseconds } from "../support/clock.ts";
import type {
  Configuration,
  Customer,
  Route,
  Service,
} from "./configuration.ts";

/// A configuration, indexed for the look-ups that each request makes.
export interface RouteTable {
  readonly configuration: Configuration;
  /// The route with the longest prefix that begins `path` among those of
  /// `host`.
  findRoute(host: string, path: string): Route | undefined;
  service(name: string): Service | undefined;
  /// Shortest pause that streams of a service count as good.
  shortestEventGap(service: string): Milliseconds;
  /// The customer that holds `key`.
  findCustomer(key: string): Customer | undefined;
}

export function createRouteTable(configuration: Configuration): RouteTable {
  const byHost = new Map<string, Map<string, Route>>();
  const pauses = new Map<string, Milliseconds>();
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase();
    const routes = byHost.get(host) ?? new Map<string, Route>();
    byHost.set(host, routes);
    routes.set(route.prefix, route);
    if (route.kind !== "stream") continue;
    for (const { service } of route.targets) {
      const shortest = pauses.get(service) ?? Infinity;
      pauses.set(service, Math.min(shortest, route.pauseMilliseconds));
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
      // A prefix ends with a slash: only the parts up to a slash can match.
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
    shortestEventGap: (service) => pauses.get(service) ?? Infinity,
    findCustomer: (key) => customers.get(key),
  };
}
