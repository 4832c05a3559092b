import { RequestError } from "../src/requests/request_error.ts";
import type { Fleet, FleetAnswer } from "./fleet.ts";

/// Schedules of requests and faults to run on a fleet, for property tests and
/// measurements.

/// A request or a fault that takes place `at` milliseconds after the start.
/// Numbers of entries and engines are taken modulo their count. A request goes to
/// a running entry.
export type ScheduledEvent =
  & { readonly at: number }
  & (
    | {
      readonly kind: "request";
      readonly entry: number;
      readonly promptTokens: number;
      readonly maximumTokens: number;
      /// Time from the request until its caller disconnects; undefined if it
      /// stays connected.
      readonly disconnectAfterMilliseconds: number | undefined;
      /// Whether the request has an idempotency key, so that it can be resumed.
      readonly keyed?: boolean;
    }
    | {
      readonly kind: "entryKilled" | "linkCut" | "engineCrashed";
      readonly number: number;
      /// Time until the entry or engine is restarted or the link is restored.
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
  /// Requests that have ended. The array grows until every request has.
  readonly completed: readonly CompletedRequest[];
}

const CALLER_KEY = "caller-key";
const CHARACTERS_PER_TOKEN = 4;

/// Returns a prompt of about `tokens` tokens. Different numbers yield different
/// prompts.
export function promptOf(tokens: number, number: number): string {
  const start = `${number} `.padStart(CHARACTERS_PER_TOKEN * 2, "0");
  return start.padEnd(tokens * CHARACTERS_PER_TOKEN, "word");
}

/// Runs a schedule until its last request was sent and its last fault has ended.
/// Ends each fault after its duration. Doesn't wait for answers; a request whose
/// entry was killed may never get one.
export async function runSchedule(
  fleet: Fleet,
  schedule: readonly ScheduledEvent[],
): Promise<ScheduleResult> {
  const { clock } = fleet;
  const vms = [...fleet.entries.keys()];
  const engines = [...fleet.engines.values()];
  const completed: CompletedRequest[] = [];
  const itemAt = <Item>(items: readonly Item[], number: number) =>
    items[number % items.length]!;
  let nextRequestNumber = 0;

  const sendRequest = (event: ScheduledEvent & { kind: "request" }) => {
    if (fleet.entries.size === 0) return;
    const vm = itemAt([...fleet.entries.keys()], event.entry);
    const disconnection = new AbortController();
    if (event.disconnectAfterMilliseconds !== undefined) {
      const reason = new RequestError("caller_gone", { executed: "unknown" });
      const disconnect = () => disconnection.abort(reason);
      clock.schedule(event.disconnectAfterMilliseconds, disconnect);
    }
    const { maximumTokens } = event;
    const number = nextRequestNumber++;
    const prompt = promptOf(event.promptTokens, number);
    const idempotencyKey = event.keyed ? `key-${number}` : undefined;
    const headers = { idempotencyKey };
    const call = {
      vm,
      key: CALLER_KEY,
      headers,
      disconnectSignal: disconnection.signal,
    };
    void fleet.complete(call, { prompt, maximumTokens })
      .then((answer) => completed.push({ prompt, maximumTokens, answer }));
  };

  const killEntry = (number: number, duration: number) => {
    const vm = itemAt(vms, number);
    if (!fleet.entries.has(vm)) return;
    fleet.kill(vm);
    clock.schedule(duration, () => void fleet.start(vm));
  };

  const cutLink = (number: number, duration: number) => {
    const from = itemAt(vms, number);
    const to = itemAt(vms, number + 1);
    fleet.network.setCut(from, to, true);
    clock.schedule(duration, () => fleet.network.setCut(from, to, false));
  };

  const runEvent = (event: ScheduledEvent) => {
    if (event.kind === "request") return sendRequest(event);
    const { number, duration } = event;
    if (event.kind === "entryKilled") return killEntry(number, duration);
    if (event.kind === "linkCut") return cutLink(number, duration);
    const engine = itemAt(engines, number);
    if (event.kind === "engineHangs") return engine.hang(duration);
    if (event.kind === "engineStalls") return engine.stall(duration);
    engine.crash();
    clock.schedule(duration, () => engine.restart());
  };

  for (const event of schedule) {
    clock.schedule(event.at, () => runEvent(event));
  }
  const endTimes = schedule.map((event) =>
    event.at + (event.kind === "request" ? 0 : event.duration)
  );
  await clock.advance(Math.max(0, ...endTimes));
  return { completed };
}
