/// What the connections of gateways use instead of the addresses they name.

/// Name of the file beside the settings that has the paths of all gateways.
export const PATHS_FILE = "paths.json";

/// The contents of that file.
export interface GatewayPaths {
  /// Source IP address by name of the VM.
  readonly sources: Readonly<Record<string, string>>;
  /// Port on loopback by port that it stands for.
  readonly ports: Readonly<Record<string, number>>;
}
