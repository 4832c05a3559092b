import { type Static, type TSchema, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";

/// Settings of the daemon. Each is a flag and an environment variable of the
/// same name: `--vm-name` and `SEQUOIATURN_VM_NAME`.

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

/// Every setting that is missing, unknown or wrong.
export class SettingsFaultsError extends Error {
  override readonly name = "SettingsFaultsError";
  readonly faults: readonly string[];
  constructor(faults: readonly string[]) {
    super(faults.join("\n"));
    this.faults = faults;
  }
}

const VARIABLE_PREFIX = "SEQUOIATURN_";

const separated = (name: string, separator: string) =>
  name.replace(/[A-Z]/g, (letter) => separator + letter.toLowerCase());

/// Name of the flag of a setting, with its dashes.
export const flagName = (name: string) => `--${separated(name, "-")}`;

/// Name of the environment variable of a setting.
export const variableName = (name: string) =>
  VARIABLE_PREFIX + separated(name, "_").toUpperCase();

/// Given settings by name. Flags go before variables.
export interface SettingSources {
  readonly flags: Readonly<Record<string, unknown>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
  /// Arguments that are no flags; there should be none.
  readonly operands?: readonly string[];
}

function convert(schema: TSchema, value: unknown): unknown {
  if (schema.type !== "integer" || typeof value !== "string") return value;
  return /^[0-9]+$/.test(value) ? Number(value) : value;
}

/// Reads all settings. Throws `SettingsFaultsError` with every fault.
export function readSettings(
  { flags, environment, operands = [] }: SettingSources,
): Settings {
  const faults = operands.map((operand) => `${operand}: unexpected argument`);
  const settings: Record<string, unknown> = {};
  const known = Settings.properties as Record<string, TSchema>;
  for (const name of Object.keys(flags)) {
    if (!(name in known)) faults.push(`${flagName(name)}: unknown flag`);
  }
  const variables = new Set(Object.keys(known).map(variableName));
  for (const variable of Object.keys(environment)) {
    const ours = variable.startsWith(VARIABLE_PREFIX);
    if (ours && !variables.has(variable)) {
      faults.push(`${variable}: unknown variable`);
    }
  }
  for (const [name, schema] of Object.entries(known)) {
    const given = flags[name] ?? environment[variableName(name)];
    const value = convert(schema, given ?? schema.default);
    const label = `${flagName(name)} (${variableName(name)})`;
    if (value === undefined) {
      const required = Settings.required?.includes(name as never);
      if (required) faults.push(`${label}: required`);
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

/// The settings as text, with secrets hidden.
export function printSettings(settings: Settings): string {
  const known = Settings.properties as Record<string, TSchema>;
  const lines = Object.entries(settings).map(([name, value]) => {
    const shown = known[name]?.secret ? "(hidden)" : String(value);
    return `${flagName(name).slice(2)} = ${shown}`;
  });
  return lines.join("\n");
}

/// The help text of all settings.
export function describeSettings(): string {
  const known = Settings.properties as Record<string, TSchema>;
  const lines = Object.entries(known).map(([name, schema]) => {
    const fallback = schema.default === undefined
      ? ""
      : ` (default ${schema.default})`;
    return `  ${flagName(name).padEnd(28)} ${schema.description}${fallback}`;
  });
  return lines.join("\n");
}
