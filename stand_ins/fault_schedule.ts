import { RequestError } from "../src/requests/request_error.ts";
import type { Fleet, FleetAnswer } from "./fleet.ts";

/// Schedules of requests and faults that are played on a fleet, for property
/// tests and measurements.

/// Something that happens `at` milliseconds after the start. Numbers that name
/// an entry or an engine are taken modulo how many there are; a request goes
/// to a running entry.
export type ScheduledEvent =
  & { readonly at: number }
  & (
    | {
      readonly kind: "request";
      readonly entry: number;
      readonly promptTokens: number;
      readonly maximumTokens: number;
      /// When the caller leaves, after its request; never if undefined.
      readonly disconnectAfterMilliseconds: number | undefined;
      /// Whether it has a key, so that it could be resumed.
      readonly keyed?: boolean;
    }
    | {
      readonly kind: "entryKilled" | "linkCut" | "engineCrashed";
      readonly number: number;
      /// Until it is started again or healed.
      readonly duration: number;
    }
    | {
      readonly kind: "engineHangs" | "engineStalls";
      readonly number: number;
      readonly duration: number;
    }
  );

export interface CompletedRequest {
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly answer: FleetAnswer;
}

export interface ScheduleResult {
  /// Grows until every request has ended.
  readonly completed: readonly CompletedRequest[];
}

const CALLER_KEY = "caller-key";
const CHARACTERS_PER_TOKEN = 4;

/// A prompt of about `tokens` tokens; prompts of different numbers differ.
export function promptOf(tokens: number, number: number): string {
  const start = `${number} `.padStart(CHARACTERS_PER_TOKEN * 2, "0");
  return start.padEnd(tokens * CHARACTERS_PER_TOKEN, "word");
}

/// Plays a schedule to its last event, healing what it broke in due time.
/// Answers of callers whose entry died are not waited for.
export async function runSchedule(
  fleet: Fleet,
  schedule: readonly ScheduledEvent[],
): Promise<ScheduleResult> {
  const { clock } = fleet;
  const vms = [...fleet.entries.keys()];
  const engines = [...fleet.engines.values()];
  const played: CompletedRequest[] = [];
  const pick = <Item>(items: readonly Item[], number: number) =>
    items[number % items.length]!;
  let nextPrompt = 0;

  const request = (event: ScheduledEvent & { kind: "request" }) => {
    if (fleet.entries.size === 0) return;
    const vm = pick([...fleet.entries.keys()], event.entry);
    const gone = new AbortController();
    if (event.disconnectAfterMilliseconds !== undefined) {
      const left = new RequestError("caller_gone", { executed: "unknown" });
      const leave = () => gone.abort(left);
      clock.schedule(event.disconnectAfterMilliseconds, leave);
    }
    const { maximumTokens } = event;
    const number = nextPrompt++;
    const prompt = promptOf(event.promptTokens, number);
    const idempotencyKey = event.keyed ? `key-${number}` : undefined;
    const headers = { idempotencyKey };
    const call = { vm, key: CALLER_KEY, headers, gone: gone.signal };
    void fleet.complete(call, { prompt, maximumTokens })
      .then((answer) => played.push({ prompt, maximumTokens, answer }));
  };

  const killEntry = (number: number, duration: number) => {
    const vm = pick(vms, number);
    if (!fleet.entries.has(vm)) return;
    fleet.kill(vm);
    clock.schedule(duration, () => void fleet.start(vm));
  };

  const cutLink = (number: number, duration: number) => {
    const from = pick(vms, number);
    const to = pick(vms, number + 1);
    fleet.network.setCut(from, to, true);
    clock.schedule(duration, () => fleet.network.setCut(from, to, false));
  };

  const play = (event: ScheduledEvent) => {
    if (event.kind === "request") return request(event);
    const { number, duration } = event;
    if (event.kind === "entryKilled") return killEntry(number, duration);
    if (event.kind === "linkCut") return cutLink(number, duration);
    const engine = pick(engines, number);
    if (event.kind === "engineHangs") return engine.hang(duration);
    if (event.kind === "engineStalls") return engine.stall(duration);
    engine.crash();
    clock.schedule(duration, () => engine.restart());
  };

  for (const event of schedule) {
    clock.schedule(event.at, () => play(event));
  }
  const ends = schedule.map((event) =>
    event.at + (event.kind === "request" ? 0 : event.duration)
  );
  await clock.advance(Math.max(0, ...ends));
  return { completed: played };
}
