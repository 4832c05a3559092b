import type { WeightStore } from "../infrastructure/weight_store.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";

/// Spaces model loads so that the engines read weights no faster than the
/// weight store delivers them.

export interface LoadPacer {
  /// Returns the time that a load will take if it may start now, otherwise
  /// undefined. `readers` regions share the rate of the weight store.
  tryStart(
    weights: { readonly model: string; readonly version: string },
    readers: number,
  ): Promise<Milliseconds | undefined>;
}

/// Part of the weight store's rate that loads may use.
const USABLE_RATE_RATIO = 0.8;

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
      const bytesPerSecond = weights.bytesPerSecond * USABLE_RATE_RATIO /
        readers;
      const duration = weights.bytes * 1_000 / bytesPerSecond;
      nextAt = clock.now() + duration;
      return duration;
    },
  };
}
