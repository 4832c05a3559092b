/// Helpers that keep every wait bounded by an abort signal.

/// Settles with `promise`, or rejects with the signal's reason if that comes
/// first. The promise itself goes on.
export function raceAbort<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value> {
  if (signal.aborted) {
    promise.catch(() => {});
    return Promise.reject(signal.reason);
  }
  return new Promise((resolve, reject) => {
    const abort = () => reject(signal.reason);
    signal.addEventListener("abort", abort, { once: true });
    promise.then(resolve, reject).finally(() =>
      signal.removeEventListener("abort", abort)
    );
  });
}

/// Yields from `source` until it ends or the signal aborts. The source is
/// closed without waiting for it.
export async function* untilAborted<Item>(
  source: AsyncIterable<Item>,
  signal: AbortSignal,
): AsyncIterable<Item> {
  const iterator = source[Symbol.asyncIterator]();
  try {
    while (true) {
      const result = await raceAbort(iterator.next(), signal);
      if (result.done) return;
      yield result.value;
    }
  } finally {
    iterator.return?.().catch(() => {});
  }
}
