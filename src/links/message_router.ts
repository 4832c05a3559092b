import type { TSchema } from "@sinclair/typebox";
import { type TypeCheck, TypeCompiler } from "@sinclair/typebox/compiler";
import type { VmIdentity } from "../vms/identity.ts";
import { createUnknownCallReply, type Links } from "./links.ts";

/// Dispatches messages and calls received over links to registered handlers.
export interface MessageRouter extends Pick<Links, "onMessage" | "onCall"> {
  /// Delivers a message to its handlers. Unknown names are ignored, so that newer
  /// peers may send messages that this version lacks, and so are invalid values.
  deliver(name: string, value: unknown, from: VmIdentity): void;
  /// Returns the reply to a call. Rejects if the name is unknown, the value is
  /// invalid or the handler fails.
  handleCall(name: string, value: unknown, from: VmIdentity): Promise<unknown>;
}

interface Registration {
  /// Compiled schema, since each message from any VM is checked.
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
      messages.set(type.name, [...registrations, { check, handler }]);
    },
    onCall(type, handler) {
      const schema = type.request;
      const check = TypeCompiler.Compile(schema as TSchema);
      calls.set(type.name, { check, handler });
    },
    deliver(name, value, from) {
      for (const { check, handler } of messages.get(name) ?? []) {
        if (check.Check(value)) handler(value, from);
      }
    },
    async handleCall(name, value, from) {
      const registration = calls.get(name);
      if (!registration) throw createUnknownCallReply(name);
      if (!registration.check.Check(value)) {
        throw new TypeError(`malformed call ${name}`);
      }
      return await registration.handler(value, from);
    },
  };
}
