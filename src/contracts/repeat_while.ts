/// Work that goes on for as long as it is needed, once at a time.
export interface RepeatedWork {
  /// Starts the work unless it runs or isn't needed; resolves at its end.
  run(): Promise<void>;
}

/// Repeats `step` while `isNeeded`. Nothing that becomes needed is missed: the
/// work counts as ended in the same turn in which it was last not needed.
/// `step` must not reject.
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
