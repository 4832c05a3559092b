import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { Milliseconds } from "../support/clock.ts";

/// Settings of the gateway, from a JSON file that the deployment writes.

const Address = Type.String({ pattern: "^[0-9.]+:[0-9]{1,5}$" });
const Count = Type.Integer({ minimum: 0 });

/// Default of `longestUnusedHoldMilliseconds`.
export const DEFAULT_UNUSED_HOLD_MILLISECONDS: Milliseconds = 9_000;
/// Default of `recoveryMilliseconds`.
export const DEFAULT_RECOVERY_MILLISECONDS: Milliseconds = 3_000;

export const GatewaySettings = Type.Object({
  vm: Type.String({ minLength: 1 }),
  dataCentre: Type.String({ minLength: 1 }),
  /// Address that callers connect to.
  callerAddress: Address,
  /// Address of the readiness check by which the platform decides whether this
  /// VM gets callers.
  readinessAddress: Address,
  /// Address that other VMs connect to.
  linkAddress: Address,
  metricsAddress: Address,
  storeAddress: Address,
  /// Time from the stop signal until the process is killed.
  stopSeconds: Type.Number({ exclusiveMinimum: 0 }),
  /// Retries permitted for a service, as a ratio of its requests.
  repeatRatio: Type.Number({ minimum: 0 }),
  /// Retries by all VMs in a window that are permitted in addition to that
  /// ratio.
  repeatAllowance: Type.Number({ minimum: 0 }),
  repeatWindowSeconds: Type.Number({ exclusiveMinimum: 0 }),
  /// Longest time for which an engine holds a memory reservation.
  longestHoldMilliseconds: Count,
  /// Longest time for which a reservation may exist without a request that uses
  /// it; `DEFAULT_UNUSED_HOLD_MILLISECONDS` by default.
  longestUnusedHoldMilliseconds: Type.Optional(Count),
  /// Time after a disruption of its connections within which a VM has to know the
  /// store's contents again; `DEFAULT_RECOVERY_MILLISECONDS` by default.
  recoveryMilliseconds: Type.Optional(Count),
  /// Share of a processor core that the process may use, and the speed of that
  /// core. VMs with more capacity do more of the fleet's common work.
  processorShare: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
  processorSpeed: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
});
export type GatewaySettings = Static<typeof GatewaySettings>;

/// The settings file is invalid; the message lists every error.
export class GatewaySettingsError extends Error {
  override readonly name = "GatewaySettingsError";
}

/// Parses the text of a settings file and ignores unknown fields. Throws
/// `GatewaySettingsError`.
export function readGatewaySettings(text: string): GatewaySettings {
  let document: unknown;
  try {
    document = JSON.parse(text);
  } catch (error) {
    const reason = (error as Error).message;
    throw new GatewaySettingsError(`the settings are not JSON: ${reason}`);
  }
  const errors = [...Value.Errors(GatewaySettings, document)]
    .map((error) => `${error.path || "/"}: ${error.message}`);
  if (errors.length > 0) {
    throw new GatewaySettingsError(
      ["the settings are invalid:", ...new Set(errors)].join("\n  "),
    );
  }
  return document as GatewaySettings;
}
