import {
  type CallerConnection,
  openCallerConnection,
} from "./caller_connection.ts";
import {
  isConnected,
  type PlatformDeployment,
  type PlatformDeploymentOptions,
  sampleConfiguration,
  startPlatformDeployment,
  until,
} from "./platform_deployment.ts";
import type {
  ReceivedRequest,
  ScriptedUpstream,
  UpstreamAction,
} from "./scripted_upstream.ts";

/// One gateway with an upstream for calls and one for streams, and a caller's
/// connection to it.

export interface CallerDeployment {
  readonly deployment: PlatformDeployment;
  /// The upstream for calls.
  readonly desk: ScriptedUpstream;
  /// The upstream for streams.
  readonly engine: ScriptedUpstream;
  readonly connection: CallerConnection;
  /// Opens a further connection.
  open(): CallerConnection;
}

export interface CallerDeploymentOptions
  extends Pick<PlatformDeploymentOptions, "dialect"> {
  /// How the upstream for calls responds.
  readonly act?: (request: ReceivedRequest) => UpstreamAction;
  /// How the upstream for streams responds.
  readonly stream?: UpstreamAction;
  /// Replaces parts of the sample configuration.
  readonly configuration?: object;
}

/// Starts a deployment that ends with the test `t`.
export async function deployForCaller(
  t: { teardown(close: () => void): void },
  options: CallerDeploymentOptions = {},
): Promise<CallerDeployment> {
  const { act = () => ({ kind: "answer", body: "done" }) } = options;
  const { stream = { kind: "stream", to: 3 }, dialect = {} } = options;
  const deployment = await startPlatformDeployment({
    configuration: sampleConfiguration(1, options.configuration),
    dialect,
  });
  t.teardown(deployment.close);
  const desk = await deployment.addUpstream("desk", "d1", act);
  const engine = await deployment.addUpstream("engines", "e1", () => stream);
  await until(() => isConnected(deployment, 2));
  await until(() => deployment.isReady());
  const open = () => {
    const { callers } = deployment.gateways[0]!.addresses;
    const connection = openCallerConnection(callers);
    t.teardown(() => connection.socket.destroy());
    return connection;
  };
  return { deployment, desk, engine, connection: open(), open };
}

/// Writes a configuration and waits until it is in force.
export async function configure(
  { store, readMetrics }: PlatformDeployment,
  version: number,
  overrides: object,
): Promise<void> {
  store.put("op/config", sampleConfiguration(version, overrides));
  await until(async () =>
    (await readMetrics()).includes(`configuration_version ${version}\n`)
  );
}
