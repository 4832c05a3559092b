import { createHash } from "node:crypto";
import { raceAbort } from "../support/abort.ts";
import { anyTrue } from "../support/any_true.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import {
  type ServiceAnswer,
  ServiceLostError,
  ServiceNotReachedError,
} from "../upstreams/service_client.ts";
import type {
  ServiceDirectory,
  ServiceView,
} from "../upstreams/service_directory.ts";
import type { UpstreamChecks } from "../upstreams/upstream_checks.ts";
import type { RunContext } from "./completion_request.ts";
import type { Quarantine } from "./quarantine.ts";
import { RequestError } from "./request_error.ts";
import type { ServiceRequest } from "./service_run.ts";

/// The attempts of one call of a service, each at an instance that has not been
/// tried. Once all have been, they are tried again: a sound instance may not be
/// reached for a few seconds.

/// Time for which a call tries instances again that weren't reached.
const UNREACHED_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;
/// Delay before all instances are tried again.
const ROUND_DELAY_MILLISECONDS: Milliseconds = 250;
const RETRY_AFTER_SECONDS = 1;

export interface ServiceAttemptsOptions {
  readonly clock: Clock;
  readonly services: Pick<ServiceDirectory, "choose" | "recordCall">;
  readonly upstreamChecks: UpstreamChecks;
  readonly quarantine: Pick<
    Quarantine,
    "requireAllowed" | "recordCrash" | "recordCompleted"
  >;
}

export interface ServiceAttempts {
  /// Sends the call to the next instance. Throws the errors of the service's
  /// client, `RequestError` or the signal's reason.
  send(signal: AbortSignal): Promise<ServiceAnswer>;
  /// Waits if all instances have been tried, after which they are tried again.
  /// Throws the signal's reason.
  prepareNext(signal: AbortSignal): Promise<void>;
}

/// Digest of a call, by which a resent one is recognised.
export function fingerprintOf({ customer, service, call }: ServiceRequest) {
  return createHash("sha256")
    .update(`${customer}\n${service}\n${call.method}\n`)
    .update(`${call.path}\n${call.query}\n`)
    .update(call.body ?? "")
    .digest("hex")
    .slice(0, 32);
}

/// Creates the attempts of one call.
export function createServiceAttempts(
  { request, open }: { request: ServiceRequest; open: RunContext["open"] },
  options: ServiceAttemptsOptions,
): ServiceAttempts {
  const { clock, services, quarantine, upstreamChecks } = options;
  const fingerprint = fingerprintOf(request);
  /// Instances whose VM responded that no process listens there.
  const ended = new Set<string>();
  let tried: ReadonlySet<string> = ended;
  let unreachedSince: Milliseconds | undefined;
  let attempt = 0;

  /// Records a crash if the instance is gone: one that only loses a response
  /// still accepts connections, if only those of other VMs.
  const recordIfCrashed = async (
    { client, upstream }: ServiceView,
    startedAt: Milliseconds,
  ) => {
    const isReached = await anyTrue([
      client.acceptsConnections(),
      upstreamChecks.isReachedByOthers(upstream.name),
    ]);
    if (isReached) return;
    const ran = clock.now() - startedAt;
    await quarantine.recordCrash(fingerprint, { upstream: upstream.name, ran });
  };

  const hasTime = () =>
    unreachedSince === undefined ||
    clock.now() - unreachedSince < UNREACHED_TIMEOUT_MILLISECONDS;

  return {
    async send(signal) {
      quarantine.requireAllowed({ fingerprint, parts: [] });
      const instance = services.choose(request.service, tried);
      if (!instance) {
        const retryAfterSeconds = RETRY_AFTER_SECONDS;
        throw new RequestError("no_upstream", { retryAfterSeconds });
      }
      const { name } = instance.upstream;
      const startedAt = clock.now();
      tried = new Set([...tried, name]);
      attempt += 1;
      open.update({ state: "sent", attempt, upstream: name });
      const recordEnd = services.recordCall(name);
      try {
        const sent = instance.client.send(request.call, signal);
        const answer = await raceAbort(sent, signal);
        quarantine.recordCompleted(fingerprint);
        return answer;
      } catch (error) {
        if (error instanceof ServiceNotReachedError) {
          unreachedSince ??= startedAt;
          if (error.hasEnded) ended.add(name);
        } else if (error instanceof ServiceLostError) {
          unreachedSince = undefined;
          await raceAbort(recordIfCrashed(instance, startedAt), signal);
        }
        throw error;
      } finally {
        recordEnd();
      }
    },
    async prepareNext(signal) {
      const { service } = request;
      if (services.choose(service, tried) || !hasTime()) return;
      if (!services.choose(service, ended)) return;
      await clock.sleep(ROUND_DELAY_MILLISECONDS, signal);
      tried = ended;
    },
  };
}
