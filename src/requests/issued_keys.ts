import { Type } from "@sinclair/typebox";
import {
  type Links,
  LinkUnansweredError,
  LinkUnreachableError,
} from "../links/links.ts";
import { defineCall } from "../links/message.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
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

/// Keys whose records are kept in the memory of the VM that issued them. They
/// need no write to the store. When the issuing process ends, its records are
/// lost, and requests with its keys are never run again.

export type IssuedKey = IdempotencyKey & { readonly kind: "issued" };

export interface IssuedKeys {
  issue(): string;
  /// Applies the operation on the issuing VM. Throws `IssuerLostError`.
  submit(key: IssuedKey, operation: LedgerOperation): Promise<LedgerReply>;
}

/// The process that issued the key has ended or is unreachable.
export class IssuerLostError extends Error {
  override readonly name = "IssuerLostError";
}

export interface IssuedKeysOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly links: Links;
}

const KEY_RANDOM_BYTES = 12;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
/// Time for which an issuer is called that doesn't respond or has no link. Links
/// also break for a moment.
const ISSUER_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;
const CALL_RETRY_DELAY_MILLISECONDS: Milliseconds = 250;
const RETENTION_LIMITS: RetentionLimits = {
  retentionMilliseconds: 3_600_000,
  minimumRetentionMilliseconds: 900_000,
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
    state = pruneState(state, RETENTION_LIMITS, now);
    return applyOperation(state, operation, RETENTION_LIMITS).reply;
  };

  const submitToIssuer = async (
    { vm, incarnation }: IssuedKey,
    operation: LedgerOperation,
  ): Promise<LedgerReply> => {
    const limits = { timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS };
    const endsAt = clock.now() + ISSUER_TIMEOUT_MILLISECONDS;
    while (true) {
      try {
        const request = { incarnation, operation };
        return await links.call(vm, Submit, request, limits);
      } catch (cause) {
        const isUnreachable = cause instanceof LinkUnreachableError ||
          cause instanceof LinkUnansweredError;
        if (!isUnreachable) throw cause;
        if (clock.now() >= endsAt) {
          const reason = `${vm}, which issued the key, did not reply`;
          throw new IssuerLostError(reason, { cause });
        }
      }
      await clock.sleep(CALL_RETRY_DELAY_MILLISECONDS);
    }
  };

  links.onCall(
    Submit,
    ({ incarnation, operation }) =>
      incarnation === self.incarnation
        ? Promise.resolve(apply(operation))
        : Promise.reject(
          new IssuerLostError("key issued by an earlier incarnation"),
        ),
  );

  return {
    issue: () =>
      formatIssuedKey({
        vm: self.vm,
        incarnation: self.incarnation,
        time: clock.now(),
        randomHex: random.hex(KEY_RANDOM_BYTES),
      }),
    async submit(key, operation) {
      if (key.vm !== self.vm) return await submitToIssuer(key, operation);
      if (key.incarnation === self.incarnation) return apply(operation);
      throw new IssuerLostError(
        "key issued by an earlier incarnation of this VM",
      );
    },
  };
}
