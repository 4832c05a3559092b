import type { Milliseconds } from "../support/clock.ts";
import type { Reachability } from "../tunnels/upstream_dialler.ts";
import { acceptsConnections } from "./attempt_result.ts";
import type { Service } from "./configuration.ts";
import type { UpstreamIdentity } from "./dialect.ts";
import { startExchange } from "./exchange.ts";
import type { RequestContext } from "./request_context.ts";
import type { Upstream } from "./upstream.ts";

/// Finds out whether a response without a length is whole. A process that crashes
/// closes its connections as one does at the end of such a response, so a response
/// is whole if the process still runs.

/// Delay after a check that tells nothing of the upstream.
const CHECK_DELAY_MILLISECONDS: Milliseconds = 200;
const IDENTITY_TIMEOUT_MILLISECONDS: Milliseconds = 500;

/// `gone`: the upstream accepts no connections; `replaced`: another process has
/// its address.
export type UnframedEnd = "whole" | "gone" | "replaced";

export interface UnframedEndOptions {
  readonly upstream: Upstream;
  readonly service: Service;
  /// Whether the attempt has ended meanwhile, which ends the checks.
  readonly isSettled: () => boolean;
  /// Called after each check that tells nothing, with what it found.
  readonly onSilent: (reachability: Reachability) => void;
}

function identifyUpstream(
  context: RequestContext,
  { upstream, service }: UnframedEndOptions,
): Promise<UpstreamIdentity> {
  const { clock, dialect } = context;
  const { healthTarget } = service;
  if (healthTarget === undefined) return Promise.resolve("same");
  return new Promise((resolve) => {
    const settle = (identity: UpstreamIdentity) => {
      timer.cancel();
      exchange.abort();
      resolve(identity);
    };
    const exchange = startExchange(context, {
      address: upstream.address,
      method: "GET",
      target: healthTarget,
      headers: dialect.buildHealthHeaders(upstream),
      body: undefined,
      reuse: { isNew: true },
    }, {
      onHead: (status, headers) =>
        settle(dialect.identifyUpstream(upstream, { status, headers })),
      onData: () => {},
      onEnd: () => {},
      onFailure: () => settle("unknown"),
    });
    const timer = clock.schedule(
      IDENTITY_TIMEOUT_MILLISECONDS,
      () => settle("unknown"),
    );
  });
}

/// Checks the upstream of a response that its connection's close has just ended,
/// until it tells. Resolves to undefined if the attempt ends before.
export async function findUnframedEnd(
  context: RequestContext,
  options: UnframedEndOptions,
): Promise<UnframedEnd | undefined> {
  const { address } = options.upstream;
  // Addresses are used again seconds after their process has ended, so only a
  // process that is reached later may be another one.
  let isFirst = true;
  while (!options.isSettled()) {
    const reachability = await context.connections.check(address);
    if (reachability === "refuses") return "gone";
    const isReached = acceptsConnections(reachability);
    if (isReached) {
      const identity = isFirst
        ? "same"
        : await identifyUpstream(context, options);
      if (identity === "same") return "whole";
      if (identity === "other") return "replaced";
    }
    isFirst = false;
    if (options.isSettled()) return undefined;
    options.onSilent(isReached ? "silent" : reachability);
    await context.clock.sleep(CHECK_DELAY_MILLISECONDS);
  }
  return undefined;
}
