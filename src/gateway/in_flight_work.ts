import { type Static, Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineMessage } from "../links/message.ts";
import { createNewPeers } from "../links/new_peers.ts";
import type { Clock, Milliseconds, Timer } from "../support/clock.ts";

/// The work that upstreams have been given by all VMs. Each VM counts its own
/// and tells the others of changes; what another VM has in flight is dropped
/// with the link to it.

/// Time in which changes are gathered before the other VMs hear of them. Until
/// then these send to the same engines; but each message goes to every VM, so
/// many VMs gather for longer, still below the time of one pass of an engine.
const GATHER_PER_VM_MILLISECONDS: Milliseconds = 0.5;
const SHORTEST_GATHER_MILLISECONDS: Milliseconds = 5;
const LONGEST_GATHER_MILLISECONDS: Milliseconds = 40;

/// About the time that a message is on its way to other VMs, over two links and
/// in their queues.
const WAY_MILLISECONDS: Milliseconds = 5;

/// Reading that ended so much sooner than others expect is told to them.
const NOTED_READING_MILLISECONDS: Milliseconds = 20;

/// A tuple, since field names would be three quarters of what many VMs send.
const WorkRow = Type.Tuple([
  Type.String({ description: "upstream" }),
  Type.Number({ description: "requests" }),
  Type.Number({ description: "short requests among them" }),
  Type.Number({ description: "tokens of memory" }),
  Type.Number({ description: "prompts of others of which it reads a part" }),
  Type.Number({ description: "milliseconds of reading still to be done" }),
]);
type WorkRow = Static<typeof WorkRow>;

const workMessage = defineMessage(
  "gateway.work",
  Type.Object({
    /// Whether rows that are not named are empty.
    isWhole: Type.Boolean(),
    rows: Type.Array(WorkRow),
  }),
);

/// What one upstream has to do.
export interface UpstreamWork {
  readonly requests: number;
  /// Those among them whose streams bear short pauses only.
  readonly shortRequests: number;
  readonly memoryTokens: number;
  /// Prompts of other engines of which it reads a part.
  readonly spans: number;
  /// Reading that is still to be done.
  readonly prefillMilliseconds: Milliseconds;
}

/// A piece of work in flight.
export interface WorkItem {
  /// The prompt, or its part, has been read.
  prefillDone(): void;
  end(): void;
}

export interface InFlightWork {
  /// Notes work that is being handed to an upstream.
  start(upstream: string, work: UpstreamWork): WorkItem;
  /// The work of one upstream, from all VMs.
  workAt(upstream: string): UpstreamWork;
  /// Time until other VMs hear of work that is started now.
  reportDelay(): Milliseconds;
}

/// Work of one VM at one upstream.
interface Account {
  requests: number;
  shortRequests: number;
  memoryTokens: number;
  helped: number;
  reads: number;
  readUntil: Milliseconds;
}

export interface InFlightWorkOptions {
  readonly clock: Clock;
  readonly links: Links;
}

export function createInFlightWork(
  { clock, links }: InFlightWorkOptions,
): InFlightWork {
  const own = new Map<string, Account>();
  const ofPeers = new Map<string, Map<string, Account>>();
  const changed = new Set<string>();
  const newPeers = createNewPeers(links);
  let timer: Timer | undefined;

  const rowOf = (upstream: string): WorkRow => {
    const account = own.get(upstream);
    const reading = Math.max(0, (account?.readUntil ?? 0) - clock.now());
    return [
      upstream,
      account?.requests ?? 0,
      account?.shortRequests ?? 0,
      account?.memoryTokens ?? 0,
      account?.helped ?? 0,
      Math.round(reading),
    ];
  };

  const flush = () => {
    timer = undefined;
    const rows = [...changed].map(rowOf);
    changed.clear();
    links.broadcast(workMessage, { isWhole: false, rows });
  };

  const note = (upstream: string) => {
    changed.add(upstream);
    timer ??= clock.schedule(gatherTime(), flush);
  };

  const gatherTime = (): Milliseconds =>
    Math.min(
      LONGEST_GATHER_MILLISECONDS,
      Math.max(
        SHORTEST_GATHER_MILLISECONDS,
        links.peers().length * GATHER_PER_VM_MILLISECONDS,
      ),
    );

  links.onMessage(workMessage, ({ isWhole, rows }, from) => {
    const now = clock.now();
    const accounts = isWhole ? new Map() : ofPeers.get(from.vm) ?? new Map();
    ofPeers.set(from.vm, accounts);
    for (const row of rows) {
      const [upstream, requests, shortRequests, memoryTokens, helped] = row;
      const reading = row[5];
      if (requests === 0 && helped === 0 && reading === 0) {
        accounts.delete(upstream);
        continue;
      }
      accounts.set(upstream, {
        requests,
        shortRequests,
        memoryTokens,
        helped,
        reads: 0,
        readUntil: now + reading,
      });
    }
  });

  links.onPeersChange(() => {
    const names = new Set(links.peers().map((peer) => peer.vm));
    for (const vm of ofPeers.keys()) if (!names.has(vm)) ofPeers.delete(vm);
    for (const { vm } of newPeers()) {
      const rows = [...own.keys()].map(rowOf);
      links.send(vm, workMessage, { isWhole: true, rows });
    }
  });

  return {
    start(upstream, work) {
      const now = clock.now();
      const account = own.get(upstream) ??
        {
          requests: 0,
          shortRequests: 0,
          memoryTokens: 0,
          helped: 0,
          reads: 0,
          readUntil: now,
        };
      own.set(upstream, account);
      account.requests += work.requests;
      account.shortRequests += work.shortRequests;
      account.memoryTokens += work.memoryTokens;
      account.helped += work.spans;
      account.reads += 1;
      account.readUntil = Math.max(now, account.readUntil) +
        work.prefillMilliseconds;
      note(upstream);
      let isReading = true;
      let isOpen = true;
      const readDone = () => {
        if (!isReading) return;
        isReading = false;
        account.reads -= 1;
        account.helped -= work.spans;
        const left = account.readUntil - clock.now();
        if (account.reads === 0) account.readUntil = clock.now();
        // What others expect runs out by itself, about as soon.
        const isNews = account.reads === 0 && left > NOTED_READING_MILLISECONDS;
        if (isNews || work.spans > 0) note(upstream);
      };
      return {
        prefillDone: readDone,
        end() {
          if (!isOpen) return;
          isOpen = false;
          // A part that has been read leaves nothing behind.
          const isNews = isReading || work.requests > 0;
          // An engine goes on reading for a request that was broken off; the
          // estimate runs out by itself.
          if (isReading) {
            account.reads -= 1;
            account.helped -= work.spans;
          }
          isReading = false;
          account.requests -= work.requests;
          account.shortRequests -= work.shortRequests;
          account.memoryTokens -= work.memoryTokens;
          const isIdle = account.requests === 0 && account.reads === 0;
          if (isIdle && account.readUntil <= clock.now()) {
            own.delete(upstream);
          }
          if (isNews) note(upstream);
        },
      };
    },
    reportDelay: () => gatherTime() + WAY_MILLISECONDS,
    workAt(upstream) {
      const now = clock.now();
      let requests = 0;
      let shortRequests = 0;
      let memoryTokens = 0;
      let helped = 0;
      let readMilliseconds = 0;
      const add = (account: Account | undefined) => {
        if (!account) return;
        requests += account.requests;
        shortRequests += account.shortRequests;
        memoryTokens += account.memoryTokens;
        helped += account.helped;
        readMilliseconds += Math.max(0, account.readUntil - now);
      };
      add(own.get(upstream));
      for (const accounts of ofPeers.values()) add(accounts.get(upstream));
      return {
        requests,
        shortRequests,
        memoryTokens,
        spans: helped,
        prefillMilliseconds: readMilliseconds,
      };
    },
  };
}
