import type { Attempt } from "./attempt.ts";
import type { PreparedAttempt } from "./attempt_preparation.ts";
import type { AttemptRecord } from "./attempt_records.ts";

/// Runs the attempts of one request: one at a time, and a replacement beside
/// those whose upstreams have all fallen silent. A silent attempt may still
/// succeed, so it isn't ended before a replacement responds; whichever goes on
/// first is kept.

/// An attempt in progress.
export interface StartedAttempt extends Pick<Attempt, "abort" | "resume"> {
  readonly ended: Promise<AttemptRecord>;
}

/// What an attempt reports while it runs.
export interface AttemptEvents {
  /// The upstream has sent nothing for longer than expected.
  onSilent(): void;
  /// The upstream has sent events, which follow those that the caller has.
  onProgress(): void;
}

export interface AttemptRaceOptions {
  /// Starts an attempt. Doesn't call `events` before it returns.
  start(prepared: PreparedAttempt, events: AttemptEvents): StartedAttempt;
  /// Prepares an attempt at another upstream; resolves to undefined if there is
  /// none, or if `signal` is aborted first.
  prepareReplacement(signal: AbortSignal): Promise<PreparedAttempt | undefined>;
  /// Receives an error of `prepareReplacement`.
  onFault(error: Error): void;
  /// Gives up an attempt that was prepared and isn't started.
  discard(prepared: PreparedAttempt): void;
  /// Whether silent attempts may have a further replacement.
  mayReplace(): boolean;
  /// Whether a result ends the request, whatever other attempts do.
  isFinal(record: AttemptRecord): boolean;
  /// Receives each result that doesn't end the request by itself. Returns whether
  /// a further attempt may follow.
  onFailed(record: AttemptRecord): boolean;
}

/// How a run ended.
export interface RaceResult {
  readonly record: AttemptRecord;
  /// Whether a further attempt may follow.
  readonly mayContinue: boolean;
}

export interface AttemptRace {
  /// Runs an attempt and its replacements. Resolves to the result that ends the
  /// request, or to the last one if all have failed.
  run(prepared: PreparedAttempt): Promise<RaceResult>;
  abort(): void;
  /// Resumes attempts that are paused because the caller reads slowly.
  resume(): void;
}

// Not created in a closure, which would keep the values around it.
const doNothing = () => {};

/// What ends a run.
interface Run {
  finish(result: RaceResult): void;
  fail(error: unknown): void;
}

export function createAttemptRace(options: AttemptRaceOptions): AttemptRace {
  const running = new Set<StartedAttempt>();
  /// Attempts whose upstreams have sent nothing since they fell silent.
  const silent = new Set<StartedAttempt>();
  let search: AbortController | undefined;
  /// Ends the run while only the search for a replacement goes on: the retry and
  /// the place in the queue that it has aren't given up.
  let endSearching = doNothing;

  /// A race lives as long as its caller's connection is idle, an attempt and what
  /// it has read doesn't.
  const finishSearching = () => {
    const end = endSearching;
    endSearching = doNothing;
    end();
  };

  const cancelSearch = () => {
    search?.abort();
    search = undefined;
  };

  /// Ends all attempts but one.
  const keepOnly = (kept?: StartedAttempt) => {
    cancelSearch();
    for (const each of [...running]) {
      if (each === kept) continue;
      running.delete(each);
      each.abort();
    }
  };

  const launch = (
    prepared: PreparedAttempt,
    run: Run,
  ) => {
    endSearching = doNothing;
    const started = options.start(prepared, {
      onSilent() {
        silent.add(started);
        void replace(run);
      },
      onProgress() {
        silent.delete(started);
        if (running.size > 1 || search) keepOnly(started);
      },
    });
    running.add(started);
    started.ended.then((record) => {
      // Another attempt has taken its place.
      if (!running.has(started)) return;
      const isFinal = options.isFinal(record);
      const mayContinue = !isFinal && options.onFailed(record);
      running.delete(started);
      silent.delete(started);
      if (running.size > 0 && !isFinal) return void replace(run);
      const end = () => run.finish({ record, mayContinue });
      if (search && mayContinue) return void (endSearching = end);
      keepOnly();
      end();
    }).catch((error: unknown) => {
      if (!running.has(started)) throw error;
      keepOnly();
      run.fail(error);
    });
  };

  const prepareReplacement = async (signal: AbortSignal) => {
    try {
      return await options.prepareReplacement(signal);
    } catch (error) {
      // The silent attempts go on.
      options.onFault(error as Error);
      return undefined;
    }
  };

  const replace = async (run: Run) => {
    const hasSilentOnly = [...running].every((each) => silent.has(each));
    if (search || !hasSilentOnly || !options.mayReplace()) return;
    const current = new AbortController();
    search = current;
    const prepared = await prepareReplacement(current.signal);
    const isCurrent = search === current;
    if (isCurrent) search = undefined;
    if (prepared && isCurrent) return launch(prepared, run);
    if (prepared) options.discard(prepared);
    if (isCurrent) finishSearching();
  };

  return {
    run: (prepared) =>
      new Promise((finish, fail) => launch(prepared, { finish, fail })),
    abort() {
      cancelSearch();
      for (const each of running) each.abort();
      finishSearching();
    },
    resume() {
      for (const each of running) each.resume();
    },
  };
}
