import type { TSchema } from "@sinclair/typebox";
import { type TypeCheck, TypeCompiler } from "@sinclair/typebox/compiler";
import { Value } from "@sinclair/typebox/value";
import type { VmIdentity } from "../vms/identity.ts";
import type { Links } from "./links.ts";

/// Hands what arrives over a link to whoever registered for it.
export interface MessageRouter extends Pick<Links, "onMessage" | "onCall"> {
  /// Delivers a message. Unknown names are ignored, so that a newer peer may
  /// send messages that this version lacks.
  deliver(name: string, value: unknown, from: VmIdentity): void;
  /// Answers a call. Rejects when the name is unknown or the handler fails.
  handleCall(name: string, value: unknown, from: VmIdentity): Promise<unknown>;
}

interface Registration {
  readonly schema: TSchema;
  /// Compiled, since every message of every VM passes through it.
  readonly check: TypeCheck<TSchema>;
  readonly handler: (value: unknown, from: VmIdentity) => unknown;
}

export function createMessageRouter(): MessageRouter {
  const messages = new Map<string, Registration[]>();
  const calls = new Map<string, Registration>();
  return {
    onMessage(type, handler) {
      const registrations = messages.get(type.name) ?? [];
      const { schema } = type;
      const check = TypeCompiler.Compile(schema as TSchema);
      const registration = { schema, check, handler };
      messages.set(type.name, [...registrations, registration]);
    },
    onCall(type, handler) {
      const schema = type.request;
      const check = TypeCompiler.Compile(schema as TSchema);
      calls.set(type.name, { schema, check, handler });
    },
    deliver(name, value, from) {
      for (const { check, handler } of messages.get(name) ?? []) {
        if (check.Check(value)) handler(value, from);
      }
    },
    async handleCall(name, value, from) {
      const registration = calls.get(name);
      if (!registration) throw new Error(`unknown call ${name}`);
      const checked = Value.Parse(registration.schema, value);
      return await registration.handler(checked, from);
    },
  };
}
