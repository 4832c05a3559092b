/// A loop that runs while it is needed, at most once at a time.
export interface RepeatedWork {
  /// Starts the loop unless it is running or isn't needed; resolves at its end.
  run(): Promise<void>;
}

/// Repeats `step` while `isNeeded`. The loop is marked as ended in the same
/// turn of the event loop in which `isNeeded` returned false, so that a later
/// `run` starts it again and no need is missed. `step` must not reject.
export function repeatWhile(
  isNeeded: () => boolean,
  step: () => Promise<void>,
): RepeatedWork {
  let running: Promise<void> | undefined;

  const work = async () => {
    while (isNeeded()) await step();
    running = undefined;
  };

  return {
    async run() {
      if (!running && isNeeded()) running = work();
      await running;
    },
  };
}
