import type { PlatformDeployment } from "./platform_deployment.ts";
import type { UpstreamAction } from "./scripted_upstream.ts";

/// Upstreams that answer every request.

export interface AnsweringUpstreams {
  /// Number of engines, and of upstreams for calls.
  readonly perService: number;
  /// What the engines send; three events by default.
  readonly stream?: UpstreamAction;
}

/// Adds engines and upstreams for calls to a deployment.
export async function addAnsweringUpstreams(
  { addUpstream }: PlatformDeployment,
  { perService, stream = { kind: "stream", to: 3 } }: AnsweringUpstreams,
): Promise<void> {
  const answer: UpstreamAction = { kind: "answer", body: "done" };
  for (let index = 0; index < perService; index++) {
    await addUpstream("engines", `engines-${index}`, () => stream);
    await addUpstream("desk", `desk-${index}`, () => answer);
  }
}
