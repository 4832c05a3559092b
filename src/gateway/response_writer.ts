import type { Milliseconds } from "../support/clock.ts";
import type { AttemptResult } from "./attempt_result.ts";
import type { UpstreamResponseMetadata } from "./dialect.ts";
import type { HeaderFields } from "./exchange.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { GatewayRequest, RequestContext } from "./request_context.ts";
import type { RequestOutcome } from "./request_outcome.ts";
import type { RequestProgress } from "./request_progress.ts";

/// Writes the response of one request, and measures when its parts are written.

/// The head of an upstream's response.
export interface ResponseHead {
  readonly status: number;
  readonly headers: HeaderFields;
  /// Whether the framing marks the end of the body.
  readonly isFramed: boolean;
  readonly metadata: UpstreamResponseMetadata;
}

export interface ResponseWriter {
  /// Writes complete events. Returns false if the caller reads more slowly.
  writeEvents(
    bytes: Buffer,
    head: ResponseHead,
    lastId: string | undefined,
  ): boolean;
  /// Forwards a complete response.
  forward(result: AttemptResult & { kind: "answered" }): void;
  /// Times of what was written so far.
  timing(isServed: boolean): Pick<
    RequestOutcome,
    "firstByte" | "longestEventGap" | "sinceLastWrite" | "isInTime"
  >;
}

export interface ResponseWriterOptions {
  readonly response: CallerResponse;
  readonly progress: RequestProgress;
}

export function createResponseWriter(
  { clock, dialect, metrics }: RequestContext,
  { arrivedAt, route }: GatewayRequest,
  { response, progress }: ResponseWriterOptions,
): ResponseWriter {
  let firstByte: Milliseconds | undefined;
  let longestEventGap: Milliseconds = 0;

  const recordFirstByte = () => {
    firstByte = clock.now() - arrivedAt;
    const labels = { route_kind: route.kind };
    metrics.firstByteSeconds.observe(labels, firstByte / 1_000);
  };

  return {
    writeEvents(bytes, head, lastId) {
      const now = clock.now();
      const gap = now - (progress.lastWriteAt ?? now);
      longestEventGap = Math.max(longestEventGap, gap);
      progress.lastWriteAt = now;
      if (!response.isStarted()) {
        recordFirstByte();
        const headers = dialect.buildCallerHeaders(head.headers);
        response.startStream({ ...head, headers });
      }
      if (lastId !== undefined) progress.lastId = lastId;
      return bytes.length === 0 || response.write(bytes);
    },
    forward(result) {
      const headers = dialect.buildCallerHeaders(result.headers);
      response.forward({ ...result, headers }, result.body);
      recordFirstByte();
    },
    timing: (isServed) => ({
      firstByte,
      longestEventGap,
      sinceLastWrite: clock.now() - (progress.lastWriteAt ?? arrivedAt),
      isInTime: isServed && firstByte !== undefined &&
        firstByte <= route.objectiveMilliseconds &&
        longestEventGap <= route.pauseMilliseconds,
    }),
  };
}
