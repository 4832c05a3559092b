import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { request } from "undici";

/// The platform's store of model weights, from which engines load models. Its
/// transfer rate is limited.

const WeightsDescription = Type.Object({
  /// Size of the weights in bytes.
  bytes: Type.Number({ exclusiveMinimum: 0 }),
  /// Transfer rate of the store, shared by all its readers.
  bytesPerSecond: Type.Number({ exclusiveMinimum: 0 }),
});
export type WeightsDescription = Static<typeof WeightsDescription>;

export interface WeightStore {
  /// Returns the weights' description for a version, or undefined if the store
  /// doesn't have it. Throws `WeightStoreUnavailableError`.
  describe(
    model: string,
    version: string,
  ): Promise<WeightsDescription | undefined>;
}

/// The store was unreachable or its response was invalid.
export class WeightStoreUnavailableError extends Error {
  override readonly name = "WeightStoreUnavailableError";
}

const CALL_TIMEOUT_MILLISECONDS = 2_000;
const HTTP_NOT_FOUND = 404;

/// Creates a client of the store at `url`.
export function createHttpWeightStore(url: string): WeightStore {
  return {
    async describe(model, version) {
      const path = [model, version].map(encodeURIComponent).join("/");
      try {
        const signal = AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS);
        const response = await request(`${url}/${path}`, { signal });
        const document = await response.body.json();
        if (response.statusCode === HTTP_NOT_FOUND) return undefined;
        return Value.Parse(WeightsDescription, document);
      } catch (error) {
        throw new WeightStoreUnavailableError(
          "no valid response from the weight store",
          {
            cause: error,
          },
        );
      }
    },
  };
}
