import { createHash } from "node:crypto";
import { Type } from "@sinclair/typebox";
import {
  type Links,
  LinkUnansweredError,
  LinkUnreachableError,
} from "../links/links.ts";
import { defineCall } from "../links/message.ts";
import type { KeyValueStore } from "../platform/key_value_store.ts";
import {
  StoreOutcomeUnknownError,
  StoreUnavailableError,
} from "../platform/key_value_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import { chooseByRendezvous } from "../support/rendezvous.ts";
import { LedgerOperation, LedgerReply } from "./ledger_operation.ts";
import {
  createLedgerShard,
  LedgerBusyError,
  type LedgerShard,
} from "./ledger_shard.ts";
import type { RetentionLimits } from "./ledger_state.ts";

/// Takes each operation to the shard's home VM, which commits those of every
/// VM together. Guards of the store alone keep the shard right; the home only
/// keeps writers from getting in each other's way.

export interface LedgerHomeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly links: Links;
  readonly store: KeyValueStore;
  readonly limits?: RetentionLimits;
}

/// Counts since the start.
export interface LedgerCounters {
  readonly conflicts: number;
  /// Operations committed here because the home did not answer.
  readonly fallbacks: number;
}

export interface LedgerHome {
  /// Resolves once the operation's effect is confirmed. Throws
  /// `LedgerUnavailableError`; the effect may then still come about.
  submit(operation: LedgerOperation): Promise<LedgerReply>;
  /// Operations that wait or are being written on this VM.
  pending(): number;
  counters(): LedgerCounters;
}

/// The ledger can't confirm anything now.
export class LedgerUnavailableError extends Error {
  override readonly name = "LedgerUnavailableError";
}

export const LEDGER_SHARD_PREFIX = "sequoiaturn/ledger/";
export const LEDGER_SHARDS = 32;
/// Writes a second of all VMs together: half by the homes of the shards, half
/// by VMs that can't reach a home.
export const LEDGER_WRITES_PER_SECOND = 128;

const SHARD_INTERVAL_MILLISECONDS = 2_000 * LEDGER_SHARDS /
  LEDGER_WRITES_PER_SECOND;
const HOME_CALL_TIMEOUT_MILLISECONDS = 1_500;
/// How long a VM that has gone still counts when writes are shared out.
const KNOWN_VMS_MILLISECONDS = 600_000;

const DEFAULT_LIMITS: RetentionLimits = {
  retention: 86_400_000,
  minimumRetention: 3_600_000,
  targetBytes: 524_288,
  maximumBytes: 917_504,
};

const SubmitReply = Type.Union([
  LedgerReply,
  Type.Object({ kind: Type.Literal("unavailable"), reason: Type.String() }),
]);

const Submit = defineCall("ledger.submit", {
  request: Type.Object({
    shard: Type.Integer({ minimum: 0, maximum: LEDGER_SHARDS - 1 }),
    operation: LedgerOperation,
  }),
  reply: SubmitReply,
});

/// Number of the shard that holds a key.
export function shardOfKey(key: string): number {
  const digest = createHash("sha256").update(key).digest();
  return digest.readUInt16BE(0) % LEDGER_SHARDS;
}

function isLinkError(error: unknown): boolean {
  return error instanceof LinkUnreachableError ||
    error instanceof LinkUnansweredError;
}

function toUnavailable(error: unknown): unknown {
  const known = error instanceof StoreUnavailableError ||
    error instanceof StoreOutcomeUnknownError ||
    error instanceof LedgerBusyError;
  if (!known) return error;
  return new LedgerUnavailableError(error.message, { cause: error });
}

export function createLedgerHome(options: LedgerHomeOptions): LedgerHome {
  const { clock, random, links, store } = options;
  const limits = options.limits ?? DEFAULT_LIMITS;
  const shards = new Map<number, LedgerShard>();
  const homes = new Map<number, string>();
  let conflicts = 0;
  let fallbacks = 0;
  let knownVms = 1;
  let knownAt = clock.now();

  const countVms = () => {
    const live = links.peers().length + 1;
    const outdated = clock.now() - knownAt > KNOWN_VMS_MILLISECONDS;
    if (live >= knownVms || outdated) {
      knownVms = live;
      knownAt = clock.now();
    }
    return live;
  };

  const homeOf = (shard: number): string => {
    const known = homes.get(shard);
    if (known !== undefined) return known;
    const vms = [links.self, ...links.peers()].map(({ vm }) => vm);
    const home = chooseByRendezvous(`ledger ${shard}`, vms)!;
    homes.set(shard, home);
    return home;
  };

  /// Shares out the writes, so that their sum over all VMs stays under the
  /// configured rate also while VMs can't reach each other.
  const intervalOf = (shard: number): Milliseconds => {
    const live = countVms();
    const isHome = homeOf(shard) === links.self.vm;
    return SHARD_INTERVAL_MILLISECONDS * (isHome ? knownVms / live : knownVms);
  };

  const shardOf = (number: number): LedgerShard => {
    let shard = shards.get(number);
    if (!shard) {
      shard = createLedgerShard({
        clock,
        random,
        store,
        key: LEDGER_SHARD_PREFIX + number,
        limits,
        interval: () => intervalOf(number),
        onConflict: () => void conflicts++,
      });
      shards.set(number, shard);
    }
    return shard;
  };

  const submitHere = async (shard: number, operation: LedgerOperation) => {
    try {
      return await shardOf(shard).submit(operation);
    } catch (error) {
      throw toUnavailable(error);
    }
  };

  const submitTo = async (
    home: string,
    shard: number,
    operation: LedgerOperation,
  ): Promise<LedgerReply | undefined> => {
    try {
      const timeoutMilliseconds = HOME_CALL_TIMEOUT_MILLISECONDS;
      const request = { shard, operation };
      const limit = { timeoutMilliseconds };
      const reply = await links.call(home, Submit, request, limit);
      return reply.kind === "unavailable" ? undefined : reply;
    } catch (error) {
      if (isLinkError(error)) return undefined;
      throw error;
    }
  };

  links.onPeersChange(() => {
    homes.clear();
    countVms();
  });
  links.onCall(Submit, async ({ shard, operation }) => {
    try {
      return await submitHere(shard, operation);
    } catch (error) {
      if (!(error instanceof LedgerUnavailableError)) throw error;
      return { kind: "unavailable" as const, reason: error.message };
    }
  });

  return {
    async submit(operation) {
      const shard = shardOfKey(operation.key);
      const home = homeOf(shard);
      if (home === links.self.vm) return await submitHere(shard, operation);
      const reply = await submitTo(home, shard, operation);
      if (reply) return reply;
      fallbacks++;
      return await submitHere(shard, operation);
    },
    pending: () =>
      [...shards.values()].reduce((sum, shard) => sum + shard.pending(), 0),
    counters: () => ({ conflicts, fallbacks }),
  };
}
