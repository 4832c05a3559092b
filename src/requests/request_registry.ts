import type { Clock, Milliseconds } from "../support/clock.ts";
import type { RequestError } from "./request_error.ts";

/// All requests of this VM, from their receipt to their end.

export type RequestState =
  | "received"
  | "admitted"
  | "waiting"
  | "sent"
  | "streaming"
  | "finished"
  | "failed"
  | "notRun";

export interface RequestRecord {
  readonly id: string;
  readonly kind: "completion" | "service";
  readonly customer: string;
  /// Name of the model or the service.
  readonly target: string;
  readonly promptTokens: number;
  readonly isLong: boolean;
  readonly state: RequestState;
  readonly attempt: number;
  readonly upstream: string;
  readonly receivedAt: Milliseconds;
  readonly firstTokenAt: Milliseconds | undefined;
}

/// Outcome of a request, reported once when it ends.
export interface RequestEnd {
  readonly record: RequestRecord;
  readonly endedAt: Milliseconds;
  readonly error: RequestError | undefined;
}

export type RequestChange = Partial<
  Pick<RequestRecord, "state" | "attempt" | "upstream" | "firstTokenAt">
>;

/// A request that has not ended.
export interface OpenRequest {
  readonly id: string;
  record(): RequestRecord;
  update(change: RequestChange): void;
  /// Ends the request. Later calls have no effect.
  end(error?: RequestError): void;
}

export type NewRequest = Pick<
  RequestRecord,
  "id" | "kind" | "customer" | "target" | "promptTokens" | "isLong"
>;

export interface RequestRegistry {
  open(request: NewRequest): OpenRequest;
  running(): readonly RequestRecord[];
  /// Numbers of ended requests by problem code, or "finished".
  endedByReason(): Readonly<Record<string, number>>;
  onEnd(listener: (end: RequestEnd) => void): void;
  /// Resolves when no request is running.
  whenIdle(): Promise<void>;
}

export function createRequestRegistry(clock: Clock): RequestRegistry {
  const running = new Map<string, RequestRecord>();
  const ended = new Map<string, number>();
  const listeners: ((end: RequestEnd) => void)[] = [];
  let idleWaiters: (() => void)[] = [];

  const finish = (id: string, error: RequestError | undefined) => {
    const record = running.get(id);
    if (!record) return;
    running.delete(id);
    const state = !error
      ? "finished"
      : record.state === "received"
      ? "notRun"
      : "failed";
    const reason = error?.code ?? "finished";
    ended.set(reason, (ended.get(reason) ?? 0) + 1);
    const end = { record: { ...record, state }, endedAt: clock.now(), error };
    listeners.forEach((listener) => listener(end as RequestEnd));
    if (running.size > 0) return;
    idleWaiters.forEach((resolve) => resolve());
    idleWaiters = [];
  };

  return {
    open(request) {
      const { id } = request;
      running.set(id, {
        ...request,
        state: "received",
        attempt: 0,
        upstream: "",
        receivedAt: clock.now(),
        firstTokenAt: undefined,
      });
      return {
        id,
        record: () => running.get(id)!,
        update(change) {
          const record = running.get(id);
          if (record) running.set(id, { ...record, ...change });
        },
        end: (error) => finish(id, error),
      };
    },
    running: () => [...running.values()],
    endedByReason: () => Object.fromEntries(ended),
    onEnd: (listener) => void listeners.push(listener),
    whenIdle: () =>
      running.size === 0
        ? Promise.resolve()
        : new Promise((resolve) => idleWaiters.push(resolve)),
  };
}
