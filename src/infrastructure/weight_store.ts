import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { request } from "undici";

/// The platform's store of model weights. Engines load from it; its rate is
/// limited.

const WeightsDescription = Type.Object({
  /// Size of the weights.
  bytes: Type.Number({ exclusiveMinimum: 0 }),
  /// Rate of the store over all its readers.
  bytesPerSecond: Type.Number({ exclusiveMinimum: 0 }),
});
export type WeightsDescription = Static<typeof WeightsDescription>;

export interface WeightStore {
  /// What the store has of a version; undefined if it lacks it. Throws
  /// `WeightStoreUnavailableError`.
  describe(
    model: string,
    version: string,
  ): Promise<WeightsDescription | undefined>;
}

/// The store could not be asked.
export class WeightStoreUnavailableError extends Error {
  override readonly name = "WeightStoreUnavailableError";
}

const TIMEOUT_MILLISECONDS = 2_000;
const NOT_FOUND = 404;

/// A client of the store at `url`.
export function createHttpWeightStore(url: string): WeightStore {
  return {
    async describe(model, version) {
      const path = [model, version].map(encodeURIComponent).join("/");
      try {
        const signal = AbortSignal.timeout(TIMEOUT_MILLISECONDS);
        const response = await request(`${url}/${path}`, { signal });
        const document = await response.body.json();
        if (response.statusCode === NOT_FOUND) return undefined;
        return Value.Parse(WeightsDescription, document);
      } catch (error) {
        throw new WeightStoreUnavailableError("the weight store has failed", {
          cause: error,
        });
      }
    },
  };
}
