import { LEDGER_SHARD_PREFIX } from "../../src/requests/ledger_router.ts";
import type { WriteOperation } from "../../src/infrastructure/key_value_store.ts";
import type { EngineChunk } from "../../src/upstreams/engine_client.ts";
import type { FleetEvent } from "../vm_clients.ts";

/// The steps of a request at which a fault can be caused, and how each shows
/// in what the entries do.

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

/// Tokens after which an answer counts as in mid stream.
const MID_STREAM_TOKENS = 10;
/// Time after the call by which an upstream has begun.
const BODY_MILLISECONDS = 10;
const PART_OF_BODY_MILLISECONDS = 1;

/// A step that an event shows, and how long after it the step is reached.
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
    { step: "bodyPartlySent", delay: PART_OF_BODY_MILLISECONDS },
    { step: "bodySent", delay: BODY_MILLISECONDS },
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

/// Finds steps in the events of one request. A step is reported once.
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
