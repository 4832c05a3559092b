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
import { createWriteBudget } from "./write_rate_limiter.ts";

/// Takes each operation to the shard's home VM, which commits those of every
/// VM together. Guards of the store alone keep the shard right; the home only
/// keeps writers from getting in each other's way.

export interface LedgerRouterOptions {
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

export interface LedgerRouter {
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
export const LEDGER_SHARD_COUNT = 64;
/// How long somebody waits for a confirmation at most.
export const LEDGER_CONFIRM_TIMEOUT_MILLISECONDS = 2_500;
/// Writes of all VMs together in any one second.
export const MAXIMUM_LEDGER_WRITES_PER_SECOND = 256;

/// Writes a second for each shard by its home.
const HOME_WRITES_PER_SECOND = 2;
/// Writes a second of all VMs together that can't reach a home.
const FALLBACK_WRITES_PER_SECOND = 64;
/// Time whose writes may be saved up: the sum of the rates and of what is
/// saved up stays under the limit of all VMs together.
const BURST_MILLISECONDS = 1_000 / 3;
const HOME_CALL_TIMEOUT_MILLISECONDS = 1_500;
/// How long a VM that has gone still counts when writes are shared out.
const KNOWN_VMS_MILLISECONDS = 600_000;

const DEFAULT_LIMITS: RetentionLimits = {
  retention: 86_400_000,
  minimumRetention: 900_000,
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

/// Number of the shard that holds a key.
export function shardOfKey(key: string): number {
  const digest = createHash("sha256").update(key).digest();
  return digest.readUInt16BE(0) % LEDGER_SHARD_COUNT;
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

export function createLedgerRouter(options: LedgerRouterOptions): LedgerRouter {
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
    const peers = links.peers().map(({ vm }) => vm);
    if (peers.length === 0) return links.self.vm;
    const vms = [links.self.vm, ...peers];
    const home = rankByRendezvous(`ledger ${shard}`, vms)[0]!;
    homes.set(shard, home);
    return home;
  };

  const isHomeOf = (shard: number) => homeOf(shard) === links.self.vm;

  /// This VM's share of the writes. The sum over all VMs stays under the limit
  /// also while VMs can't reach each other and each takes itself for the home.
  const rate = (): number => {
    const live = countVms();
    const own = SHARD_NUMBERS.filter(isHomeOf).length;
    const asHome = own * HOME_WRITES_PER_SECOND * live / knownVms;
    return asHome + FALLBACK_WRITES_PER_SECOND / knownVms;
  };
  const burst = BURST_MILLISECONDS;
  const budget = createWriteBudget({ clock, rate, burst });

  const shardOf = (number: number): LedgerShard => {
    let shard = shards.get(number);
    if (!shard) {
      shard = createLedgerShard({
        clock,
        random,
        store,
        key: LEDGER_SHARD_PREFIX + number,
        limits,
        budget,
        isSoleWriter: () => isHomeOf(number) && countVms() === knownVms,
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
