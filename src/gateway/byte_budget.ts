/// A limit for bytes that several requests hold in memory together.
export interface ByteBudget {
  /// Adds bytes; returns false, and adds nothing, beyond the limit.
  take(bytes: number): boolean;
  release(bytes: number): void;
}

export function createByteBudget(limit: number): ByteBudget {
  let held = 0;
  return {
    take(bytes) {
      if (held + bytes > limit) return false;
      held += bytes;
      return true;
    },
    release: (bytes) => void (held -= bytes),
  };
}
