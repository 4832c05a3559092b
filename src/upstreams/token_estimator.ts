/// Estimates the number of tokens of a prompt, from the usage that engines
/// report for each model.
export interface TokenEstimator {
  /// Average bytes per token of this model.
  bytesPerToken(model: string): number;
  /// Updates the average with the length that an engine reported.
  learn(model: string, prompt: { bytes: number; tokens: number }): void;
}

const INITIAL_BYTES_PER_TOKEN = 4;
/// Weight of one prompt in the running average.
const LEARNING_RATE = 0.02;
const PLAUSIBLE_BYTES_PER_TOKEN = { minimum: 0.5, maximum: 16 };

export function createTokenEstimator(): TokenEstimator {
  const averages = new Map<string, number>();
  const bytesPerToken = (model: string) =>
    averages.get(model) ?? INITIAL_BYTES_PER_TOKEN;
  return {
    bytesPerToken,
    learn(model, { bytes, tokens }) {
      const observed = bytes / tokens;
      const { minimum, maximum } = PLAUSIBLE_BYTES_PER_TOKEN;
      if (!(observed >= minimum && observed <= maximum)) return;
      const average = bytesPerToken(model);
      averages.set(model, average + LEARNING_RATE * (observed - average));
    },
  };
}
