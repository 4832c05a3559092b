import type { WeightStore } from "../infrastructure/weight_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Spaces loads so that the engines read weights no faster than the weight
/// store gives them.

export interface LoadPacer {
  /// Time that a load will take, if one may start now; else undefined.
  tryStart(
    weights: { readonly model: string; readonly version: string },
    readers: number,
  ): Promise<Milliseconds | undefined>;
}

/// Part of the store's rate that loads may use.
const RATE_SHARE = 0.8;

export function createLoadPacer(
  clock: Clock,
  weightStore: WeightStore,
): LoadPacer {
  let nextAt = clock.now();
  return {
    async tryStart({ model, version }, readers) {
      if (clock.now() < nextAt) return undefined;
      const weights = await weightStore.describe(model, version);
      if (!weights || clock.now() < nextAt) return undefined;
      const bytesPerSecond = weights.bytesPerSecond * RATE_SHARE / readers;
      const duration = weights.bytes * 1_000 / bytesPerSecond;
      nextAt = clock.now() + duration;
      return duration;
    },
  };
}
