/// Makes waiting for promises and iterables abortable.

/// Settles with `promise`, or rejects with the signal's reason if the signal
/// aborts first. The operation behind the promise is not cancelled.
export function raceAbort<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value> {
  if (signal.aborted) {
    promise.catch(() => {});
    return Promise.reject(signal.reason);
  }
  return new Promise((resolve, reject) => {
    const onAbort = () => reject(signal.reason);
    signal.addEventListener("abort", onAbort, { once: true });
    promise.then(resolve, reject).finally(() =>
      signal.removeEventListener("abort", onAbort)
    );
  });
}

/// Yields the items of `source` until it ends. Throws the signal's reason if the
/// signal aborts first. The source is closed without waiting for its `return`.
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
