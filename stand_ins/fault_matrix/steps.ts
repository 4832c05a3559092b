import { LEDGER_SHARD_PREFIX } from "../../src/requests/ledger_router.ts";
import type { WriteOperation } from "../../src/infrastructure/key_value_store.ts";
import type { EngineChunk } from "../../src/upstreams/engine_client.ts";
import type { FleetEvent } from "../vm_clients.ts";

/// The steps of a request at which a fault can be injected, and how each is
/// detected from the events of the entries' clients.

export type Step =
  | "received"
  | "claimWritten"
  | "claimConfirmed"
  | "reserved"
  | "connected"
  | "bodyPartlySent"
  | "bodySent"
  | "firstToken"
  | "midStream"
  | "endMarker"
  | "answered"
  | "outcomeRecorded"
  | "released";

/// Tokens after which a stream counts as mid-stream.
const MID_STREAM_TOKENS = 10;
/// Time after the call by which the upstream has started to process it.
const BODY_SENT_DELAY_MILLISECONDS = 10;
const BODY_PARTLY_SENT_DELAY_MILLISECONDS = 1;

/// A step that an event indicates, and the time in milliseconds from the event
/// until the step is reached.
export interface ReachedStep {
  readonly step: Step;
  readonly delay: number;
}

function isLedgerWrite({ target, call, values }: FleetEvent): boolean {
  if (target !== "store" || call !== "transact") return false;
  const operations = values[1] as readonly WriteOperation[];
  return operations.some(({ key }) => key.startsWith(LEDGER_SHARD_PREFIX));
}

const STARTING_CALLS = new Set(["complete", "prefillSpan", "send"]);

function stepsOfCall({ call }: FleetEvent): ReachedStep[] {
  if (!STARTING_CALLS.has(call)) return [];
  const steps: ReachedStep[] = [
    { step: "connected", delay: 0 },
    { step: "bodyPartlySent", delay: BODY_PARTLY_SENT_DELAY_MILLISECONDS },
    { step: "bodySent", delay: BODY_SENT_DELAY_MILLISECONDS },
  ];
  if (call === "send") steps.push({ step: "claimConfirmed", delay: 0 });
  return steps;
}

function stepsOfChunk(chunk: EngineChunk): ReachedStep[] {
  const steps: ReachedStep[] = [];
  if (chunk.tokens > 0) steps.push({ step: "firstToken", delay: 0 });
  if (chunk.offset >= MID_STREAM_TOKENS) {
    steps.push({ step: "midStream", delay: 0 });
  }
  if (chunk.end) steps.push({ step: "endMarker", delay: 0 });
  return steps;
}

/// Returns a function that finds the steps in the events of one request. It
/// reports each step once.
export function createStepFinder(): (event: FleetEvent) => ReachedStep[] {
  const seen = new Set<Step>();
  let ledgerWrites = 0;

  const find = (event: FleetEvent): ReachedStep[] => {
    if (event.phase === "call") return stepsOfCall(event);
    if (event.phase === "chunk") {
      return stepsOfChunk(event.result as EngineChunk);
    }
    if (isLedgerWrite(event)) {
      ledgerWrites++;
      const step = ledgerWrites === 1 ? "claimWritten" : "outcomeRecorded";
      return [{ step, delay: 0 }];
    }
    if (event.call === "reserve") return [{ step: "reserved", delay: 0 }];
    if (event.call === "send") return [{ step: "answered", delay: 0 }];
    return [];
  };

  return (event) =>
    find(event).filter(({ step }) => {
      if (seen.has(step)) return false;
      seen.add(step);
      return true;
    });
}
