import { type Static, type TSchema, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";

/// Settings of the daemon. Each setting can be given as a flag or as an
/// environment variable: `vmName` as `--vm-name` or `SEQUOIATURN_VM_NAME`.

const Address = Type.String({
  pattern: "^(\\[[0-9A-Fa-f:]+\\]|[0-9.]+):[0-9]{1,5}$",
  errorMessage: "an IP address and a port, such as 10.0.0.7:8080",
});
const Secret = Type.String({
  minLength: 16,
  secret: true,
  errorMessage: "at least 16 characters",
});
const Url = Type.String({
  pattern: "^https?://",
  errorMessage: "an http:// or https:// URL",
});
const Bytes = Type.Integer({ minimum: 1, errorMessage: "a number of bytes" });

export const Settings = Type.Object({
  vmName: Type.String({
    minLength: 1,
    description: "Name of this VM, as in the VM list",
    errorMessage: "a name",
  }),
  dataCentre: Type.String({
    minLength: 1,
    description: "Data centre of this VM",
    errorMessage: "a name",
  }),
  callerAddress: Type.String({
    ...Address,
    description: "Where callers connect",
    default: "127.0.0.1:8080",
  }),
  administrationAddress: Type.String({
    ...Address,
    description: "Where operators, health checks and metrics connect",
    default: "127.0.0.1:8081",
  }),
  linkAddress: Type.String({
    ...Address,
    description: "Where other VMs connect",
    default: "127.0.0.1:8082",
  }),
  storeUrl: Type.String({
    ...Url,
    description: "Key-value service (etcd v3 JSON gateway)",
  }),
  vmListUrl: Type.String({ ...Url, description: "The platform's VM list" }),
  weightStoreUrl: Type.Optional(
    Type.String({
      ...Url,
      description: "The weight store; without it engines get no orders",
    }),
  ),
  linkSecret: Type.String({
    ...Secret,
    description: "Secret that all VMs share",
  }),
  previousLinkSecret: Type.Optional(
    Type.String({
      ...Secret,
      description: "Earlier link secret, still accepted",
    }),
  ),
  operateToken: Type.String({
    ...Secret,
    description: "Bearer token of operators who may change things",
  }),
  viewToken: Type.Optional(
    Type.String({
      ...Secret,
      description: "Bearer token of operators who may only look",
    }),
  ),
  bodyLimitBytes: Type.Integer({
    ...Bytes,
    description: "Largest request body",
    default: 16_777_216,
  }),
  drainLimitMilliseconds: Type.Integer({
    minimum: 0,
    description: "Longest graceful shutdown",
    default: 600_000,
    errorMessage: "a number of milliseconds",
  }),
}, { additionalProperties: false });
export type Settings = Static<typeof Settings>;

/// Some settings are missing, unknown or invalid. The message has a line for
/// each of them.
export class SettingsFaultsError extends Error {
  override readonly name = "SettingsFaultsError";
  readonly faults: readonly string[];
  constructor(faults: readonly string[]) {
    super(faults.join("\n"));
    this.faults = faults;
  }
}

const VARIABLE_PREFIX = "SEQUOIATURN_";

const separateWords = (name: string, separator: string) =>
  name.replace(/[A-Z]/g, (letter) => separator + letter.toLowerCase());

/// Name of the flag of a setting, with the leading dashes.
export const flagName = (name: string) => `--${separateWords(name, "-")}`;

/// Name of the environment variable of a setting.
export const variableName = (name: string) =>
  VARIABLE_PREFIX + separateWords(name, "_").toUpperCase();

/// Values of settings by flag and by variable. Flags take precedence.
export interface SettingSources {
  readonly flags: Readonly<Record<string, unknown>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /// Arguments that are not flags. Each is reported as a fault.
  readonly operands?: readonly string[];
}

function parseValue(schema: TSchema, value: unknown): unknown {
  if (schema.type !== "integer" || typeof value !== "string") return value;
  return /^[0-9]+$/.test(value) ? Number(value) : value;
}

/// Reads and checks all settings. Throws `SettingsFaultsError` with all faults.
export function readSettings(
  { flags, environment, operands = [] }: SettingSources,
): Settings {
  const faults = operands.map((operand) => `${operand}: unexpected argument`);
  const settings: Record<string, unknown> = {};
  const schemas = Settings.properties as Record<string, TSchema>;
  for (const name of Object.keys(flags)) {
    if (!(name in schemas)) faults.push(`${flagName(name)}: unknown flag`);
  }
  const variables = new Set(Object.keys(schemas).map(variableName));
  for (const variable of Object.keys(environment)) {
    const hasPrefix = variable.startsWith(VARIABLE_PREFIX);
    if (hasPrefix && !variables.has(variable)) {
      faults.push(`${variable}: unknown variable`);
    }
  }
  for (const [name, schema] of Object.entries(schemas)) {
    const given = flags[name] ?? environment[variableName(name)];
    const value = parseValue(schema, given ?? schema.default);
    const label = `${flagName(name)} (${variableName(name)})`;
    if (value === undefined) {
      const isRequired = Settings.required?.includes(name as never);
      if (isRequired) faults.push(`${label}: required`);
      continue;
    }
    settings[name] = value;
    if (!Value.Check(schema, value)) {
      faults.push(`${label}: expected ${schema.errorMessage}`);
    }
  }
  if (faults.length > 0) throw new SettingsFaultsError(faults);
  return settings as Settings;
}

/// Formats the settings as text, with secrets hidden.
export function printSettings(settings: Settings): string {
  const schemas = Settings.properties as Record<string, TSchema>;
  const lines = Object.entries(settings).map(([name, value]) => {
    const displayed = schemas[name]?.secret ? "(hidden)" : String(value);
    return `${flagName(name).slice(2)} = ${displayed}`;
  });
  return lines.join("\n");
}

/// Returns the help text of all settings.
export function describeSettings(): string {
  const schemas = Settings.properties as Record<string, TSchema>;
  const lines = Object.entries(schemas).map(([name, schema]) => {
    const defaultNote = schema.default === undefined
      ? ""
      : ` (default ${schema.default})`;
    return `  ${flagName(name).padEnd(28)} ${schema.description}${defaultNote}`;
  });
  return lines.join("\n");
}
