import { Type } from "@sinclair/typebox";
import {
  type Links,
  LinkUnansweredError,
  LinkUnreachableError,
} from "../links/links.ts";
import { defineCall } from "../links/message.ts";
import type { Clock } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import { formatIssuedKey, type IdempotencyKey } from "./idempotency_key.ts";
import {
  applyOperation,
  LedgerOperation,
  LedgerReply,
} from "./ledger_operation.ts";
import {
  emptyState,
  pruneState,
  type RetentionLimits,
} from "./ledger_state.ts";

/// Keys whose record is the memory of the entry that issued them. They cost
/// no write to the store, and an issuer that has gone takes the knowledge
/// with it: its keys are never run again.

export type IssuedKey = IdempotencyKey & { readonly kind: "issued" };

export interface IssuedKeys {
  issue(): string;
  /// Applies the operation at the issuer. Throws `IssuerLostError`.
  submit(key: IssuedKey, operation: LedgerOperation): Promise<LedgerReply>;
}

/// The entry that issued the key has gone or can't be reached.
export class IssuerLostError extends Error {
  override readonly name = "IssuerLostError";
}

export interface IssuedKeysOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly links: Links;
}

const KEY_BYTES = 12;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const CALL_TRIES = 2;
const LIMITS: RetentionLimits = {
  retention: 3_600_000,
  minimumRetention: 900_000,
  targetBytes: 8_388_608,
  maximumBytes: 16_777_216,
};

const Submit = defineCall("issuedKeys.submit", {
  request: Type.Object({
    incarnation: Type.String(),
    operation: LedgerOperation,
  }),
  reply: LedgerReply,
});

export function createIssuedKeys(options: IssuedKeysOptions): IssuedKeys {
  const { clock, random, links } = options;
  const { self } = links;
  let state = emptyState(0);

  const apply = (operation: LedgerOperation): LedgerReply => {
    const now = clock.now();
    const notIssued = operation.kind === "claim" && operation.keyTime > now;
    if (notIssued) return { kind: "pruned" };
    state = pruneState(state, LIMITS, now);
    return applyOperation(state, operation, LIMITS).reply;
  };

  const submitTo = async (
    { vm, incarnation }: IssuedKey,
    operation: LedgerOperation,
  ): Promise<LedgerReply> => {
    const limits = { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS };
    let cause: unknown;
    for (let tries = 0; tries < CALL_TRIES; tries++) {
      try {
        const request = { incarnation, operation };
        return await links.call(vm, Submit, request, limits);
      } catch (error) {
        const lost = error instanceof LinkUnreachableError ||
          error instanceof LinkUnansweredError;
        if (!lost) throw error;
        cause = error;
      }
    }
    throw new IssuerLostError(`${vm} did not answer`, { cause });
  };

  links.onCall(
    Submit,
    ({ incarnation, operation }) =>
      incarnation === self.incarnation
        ? Promise.resolve(apply(operation))
        : Promise.reject(new IssuerLostError("issued by an earlier run")),
  );

  return {
    issue: () =>
      formatIssuedKey({
        vm: self.vm,
        incarnation: self.incarnation,
        time: clock.now(),
        randomHex: random.hex(KEY_BYTES),
      }),
    async submit(key, operation) {
      if (key.vm !== self.vm) return await submitTo(key, operation);
      if (key.incarnation === self.incarnation) return apply(operation);
      throw new IssuerLostError("issued by an earlier run of this VM");
    },
  };
}
