import api from "../node_modules/undici/lib/api/index.js";
import Agent from "../node_modules/undici/lib/dispatcher/agent.js";
import Client from "../node_modules/undici/lib/dispatcher/client.js";
import Dispatcher from "../node_modules/undici/lib/dispatcher/dispatcher.js";
import Pool from "../node_modules/undici/lib/dispatcher/pool.js";

/// The parts of undici that the gateway uses. The whole library also loads its
/// fetch, WebSocket and cache, which a process would do at each start.

// The library's own entry point adds these methods as well.
Object.assign(Dispatcher.prototype, api);

const agent = new Agent();

/// Sends a request without a dispatcher of the caller's.
export function request(url, options = {}) {
  const { origin, pathname, search } = new URL(url);
  const path = pathname + search;
  return agent.request({ method: "GET", ...options, origin, path });
}

export { Client, Pool };
