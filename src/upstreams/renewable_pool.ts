import { Pool } from "undici";

/// Connections to one upstream that can be replaced by new ones.

/// A pool of connections of which later requests may get new ones.
export interface RenewablePool {
  readonly request: Pool["request"];
  /// Sends later requests over new connections. Earlier requests keep theirs,
  /// which are closed after them.
  renew(): void;
  /// Closes all connections at once.
  destroy(): Promise<void>;
}

/// Creates a pool of connections to an origin.
export function createRenewablePool(
  origin: string,
  options: Pool.Options,
): RenewablePool {
  let current = new Pool(origin, options);
  const replaced = new Set<Pool>();
  return {
    request: (...parameters: Parameters<Pool["request"]>) =>
      current.request(...parameters),
    renew() {
      const pool = current;
      current = new Pool(origin, options);
      replaced.add(pool);
      pool.close().catch(() => {
        // Destroyed meanwhile.
      }).finally(() => replaced.delete(pool));
    },
    async destroy() {
      await Promise.all([current, ...replaced].map((pool) => pool.destroy()));
    },
  };
}
