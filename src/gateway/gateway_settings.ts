import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";

/// Settings of the gateway: a JSON file that the deployment writes.

const Address = Type.String({ pattern: "^[0-9.]+:[0-9]{1,5}$" });
const Count = Type.Integer({ minimum: 0 });

export const GatewaySettings = Type.Object({
  vm: Type.String({ minLength: 1 }),
  dataCentre: Type.String({ minLength: 1 }),
  /// Where callers connect.
  callerAddress: Address,
  /// Where the platform asks whether this VM takes callers.
  readinessAddress: Address,
  /// Where other VMs connect.
  linkAddress: Address,
  metricsAddress: Address,
  storeAddress: Address,
  /// Time from the request to stop until the process is killed.
  stopSeconds: Type.Number({ exclusiveMinimum: 0 }),
  /// Repeats that a service may get, as a share of its requests.
  repeatRatio: Type.Number({ minimum: 0 }),
  /// Repeats of all VMs in a window beside that share.
  repeatAllowance: Type.Number({ minimum: 0 }),
  repeatWindowSeconds: Type.Number({ exclusiveMinimum: 0 }),
  /// Longest time for which an engine sets memory aside.
  longestHoldMilliseconds: Count,
});
export type GatewaySettings = Static<typeof GatewaySettings>;

/// The settings file is wrong; the message names every fault.
export class GatewaySettingsError extends Error {
  override readonly name = "GatewaySettingsError";
}

/// Reads the text of a settings file. Fields that it doesn't know are ignored.
export function readGatewaySettings(text: string): GatewaySettings {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch (error) {
    const reason = (error as Error).message;
    throw new GatewaySettingsError(`the settings are no JSON: ${reason}`);
  }
  const faults = [...Value.Errors(GatewaySettings, document)]
    .map((fault) => `${fault.path || "/"}: ${fault.message}`);
  if (faults.length > 0) {
    throw new GatewaySettingsError(
      ["the settings are wrong:", ...new Set(faults)].join("\n  "),
    );
  }
  return document as GatewaySettings;
}
