/// Estimates of how many tokens a prompt has, learned from the usage that
/// engines report for each model.
export interface TokenEstimator {
  /// Bytes a token of this model takes on average.
  bytesPerToken(model: string): number;
  /// Takes in the length that an engine reported.
  learn(model: string, prompt: { bytes: number; tokens: number }): void;
}

const INITIAL_BYTES_PER_TOKEN = 4;
/// Weight of one prompt in the running average.
const LEARNING_RATE = 0.02;
const PLAUSIBLE_BYTES_PER_TOKEN = { least: 0.5, most: 16 };

export function createTokenEstimator(): TokenEstimator {
  const averages = new Map<string, number>();
  const bytesPerToken = (model: string) =>
    averages.get(model) ?? INITIAL_BYTES_PER_TOKEN;
  return {
    bytesPerToken,
    learn(model, { bytes, tokens }) {
      const seen = bytes / tokens;
      const { least, most } = PLAUSIBLE_BYTES_PER_TOKEN;
      if (!(seen >= least && seen <= most)) return;
      const average = bytesPerToken(model);
      averages.set(model, average + LEARNING_RATE * (seen - average));
    },
  };
}
