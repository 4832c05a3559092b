import { createHash } from "node:crypto";
import { Type } from "@sinclair/typebox";
import {
  type Links,
  LinkUnansweredError,
  LinkUnreachableError,
} from "../links/links.ts";
import { defineCall } from "../links/message.ts";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import {
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../infrastructure/key_value_store.ts";
import type { Clock } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import { rankByRendezvous } from "../vms/rendezvous.ts";
import { LedgerOperation, LedgerReply } from "./ledger_operation.ts";
import {
  createLedgerShard,
  LedgerBusyError,
  type LedgerShard,
} from "./ledger_shard.ts";
import type { RetentionLimits } from "./ledger_state.ts";
import { createWriteRateLimiter } from "./write_rate_limiter.ts";

/// Routes each operation to the VM that owns its shard. The owner commits the
/// operations of all VMs in batches. Correctness depends only on the store's
/// guarded writes; ownership only prevents write conflicts.

export interface LedgerRouterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly links: Links;
  readonly store: KeyValueStore;
  readonly limits?: RetentionLimits;
}

/// Counts since the start of the process.
export interface LedgerCounters {
  readonly conflicts: number;
  /// Operations committed by this VM because the owner did not reply or could
  /// not confirm them.
  readonly fallbacks: number;
}

export interface LedgerRouter {
  /// Resolves once the operation's effect is confirmed. Throws
  /// `LedgerUnavailableError`; the operation may still take effect later.
  submit(operation: LedgerOperation): Promise<LedgerReply>;
  /// Number of operations that are queued or being written on this VM.
  pending(): number;
  counters(): LedgerCounters;
}

/// The ledger can't confirm an operation now.
export class LedgerUnavailableError extends Error {
  override readonly name = "LedgerUnavailableError";
}

export const LEDGER_SHARD_PREFIX = "sequoiaturn/ledger/";
export const LEDGER_SHARD_COUNT = 64;
/// Maximum time for which a request waits for a confirmation.
export const LEDGER_CONFIRM_TIMEOUT_MILLISECONDS = 2_500;
/// Maximum number of writes of all VMs together in any one second.
export const MAXIMUM_LEDGER_WRITES_PER_SECOND = 256;

/// Writes per second of an owner for each of its shards.
const OWNER_WRITES_PER_SHARD_PER_SECOND = 2;
/// Writes per second of all VMs together to shards whose owner is unreachable.
const FALLBACK_WRITES_PER_SECOND = 64;
/// Burst size, as the time in which its writes accrue. The sum of the rates and
/// of the bursts stays under the limit of all VMs together.
const BURST_MILLISECONDS = 1_000 / 3;
const OWNER_CALL_TIMEOUT_MILLISECONDS = 1_500;
/// Time for which a disconnected VM still counts when the write rate is divided
/// among the VMs.
const PEAK_VM_COUNT_RETENTION_MILLISECONDS = 600_000;

const DEFAULT_RETENTION_LIMITS: RetentionLimits = {
  retentionMilliseconds: 86_400_000,
  minimumRetentionMilliseconds: 900_000,
  targetBytes: 262_144,
  maximumBytes: 917_504,
};

const SubmitReply = Type.Union([
  LedgerReply,
  Type.Object({ kind: Type.Literal("unavailable"), reason: Type.String() }),
]);

const Submit = defineCall("ledger.submit", {
  request: Type.Object({
    shard: Type.Integer({ minimum: 0, maximum: LEDGER_SHARD_COUNT - 1 }),
    operation: LedgerOperation,
  }),
  reply: SubmitReply,
});

const SHARD_NUMBERS = Array.from(
  { length: LEDGER_SHARD_COUNT },
  (_, number) => number,
);

/// Number of the shard that contains the records of a key.
export function shardOfKey(key: string): number {
  const digest = createHash("sha256").update(key).digest();
  return digest.readUInt16BE(0) % LEDGER_SHARD_COUNT;
}

function isLinkError(error: unknown): boolean {
  return error instanceof LinkUnreachableError ||
    error instanceof LinkUnansweredError;
}

function toUnavailable(error: unknown): unknown {
  const isUnavailable = error instanceof StoreUnavailableError ||
    error instanceof StoreOutcomeUnknownError ||
    error instanceof LedgerBusyError;
  if (!isUnavailable) return error;
  return new LedgerUnavailableError(error.message, { cause: error });
}

export function createLedgerRouter(options: LedgerRouterOptions): LedgerRouter {
  const { clock, random, links, store } = options;
  const limits = options.limits ?? DEFAULT_RETENTION_LIMITS;
  const shards = new Map<number, LedgerShard>();
  const owners = new Map<number, string>();
  let conflicts = 0;
  let fallbacks = 0;
  let peakVmCount = 1;
  let peakVmCountAt = clock.now();

  const updateVmCount = () => {
    const live = links.peers().length + 1;
    const isExpired =
      clock.now() - peakVmCountAt > PEAK_VM_COUNT_RETENTION_MILLISECONDS;
    if (live >= peakVmCount || isExpired) {
      peakVmCount = live;
      peakVmCountAt = clock.now();
    }
    return live;
  };

  const ownerOf = (shard: number): string => {
    const cached = owners.get(shard);
    if (cached !== undefined) return cached;
    const peers = links.peers().map(({ vm }) => vm);
    if (peers.length === 0) return links.self.vm;
    const vms = [links.self.vm, ...peers];
    const owner = rankByRendezvous(`ledger ${shard}`, vms)[0]!;
    owners.set(shard, owner);
    return owner;
  };

  const isOwnerOf = (shard: number) => ownerOf(shard) === links.self.vm;

  /// This VM's share of the write rate. The sum over all VMs stays under the
  /// limit even during a network partition, in which several VMs each act as
  /// the owner of the same shard.
  const writesPerSecond = (): number => {
    const live = updateVmCount();
    const ownedShards = SHARD_NUMBERS.filter(isOwnerOf).length;
    const ownerWrites = ownedShards * OWNER_WRITES_PER_SHARD_PER_SECOND * live /
      peakVmCount;
    return ownerWrites + FALLBACK_WRITES_PER_SECOND / peakVmCount;
  };
  const burst = BURST_MILLISECONDS;
  const rateLimiter = createWriteRateLimiter({
    clock,
    writesPerSecond,
    burst,
  });

  const shardOf = (number: number): LedgerShard => {
    let shard = shards.get(number);
    if (!shard) {
      shard = createLedgerShard({
        clock,
        random,
        store,
        key: LEDGER_SHARD_PREFIX + number,
        limits,
        rateLimiter,
        isSoleWriter: () =>
          isOwnerOf(number) && updateVmCount() === peakVmCount,
        onConflict: () => void conflicts++,
      });
      shards.set(number, shard);
    }
    return shard;
  };

  const submitLocally = async (shard: number, operation: LedgerOperation) => {
    try {
      return await shardOf(shard).submit(operation);
    } catch (error) {
      throw toUnavailable(error);
    }
  };

  const submitToOwner = async (
    owner: string,
    shard: number,
    operation: LedgerOperation,
  ): Promise<LedgerReply | undefined> => {
    try {
      const timeoutMilliseconds = OWNER_CALL_TIMEOUT_MILLISECONDS;
      const request = { shard, operation };
      const limit = { timeoutMilliseconds };
      const reply = await links.call(owner, Submit, request, limit);
      return reply.kind === "unavailable" ? undefined : reply;
    } catch (error) {
      if (isLinkError(error)) return undefined;
      throw error;
    }
  };

  links.onPeersChange(() => {
    owners.clear();
    updateVmCount();
  });
  links.onCall(Submit, async ({ shard, operation }) => {
    try {
      return await submitLocally(shard, operation);
    } catch (error) {
      if (!(error instanceof LedgerUnavailableError)) throw error;
      return { kind: "unavailable" as const, reason: error.message };
    }
  });

  return {
    async submit(operation) {
      const shard = shardOfKey(operation.key);
      const owner = ownerOf(shard);
      if (owner === links.self.vm) return await submitLocally(shard, operation);
      const reply = await submitToOwner(owner, shard, operation);
      if (reply) return reply;
      fallbacks++;
      return await submitLocally(shard, operation);
    },
    pending: () =>
      [...shards.values()].reduce((sum, shard) => sum + shard.pending(), 0),
    counters: () => ({ conflicts, fallbacks }),
  };
}
