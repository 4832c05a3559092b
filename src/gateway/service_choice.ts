import type { RandomSource } from "../support/random.ts";
import type { Route, Service } from "./configuration.ts";
import type { RouteTable } from "./route_table.ts";

/// Chooses the service of a request among those of its route, by their weights.
/// Returns undefined if it isn't configured.
export function chooseService(
  table: RouteTable,
  { targets }: Route,
  random: RandomSource,
): Service | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let point = random.next() * total;
  for (const { service, weight } of targets) {
    point -= weight;
    if (point < 0) return table.service(service);
  }
  const last = targets.at(-1);
  return last && table.service(last.service);
}
