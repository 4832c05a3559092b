import { Type } from "@sinclair/typebox";
import type { Links } from "../links/links.ts";
import { defineCall } from "../links/message.ts";
import { anyTrue } from "../support/any_true.ts";
import type { Milliseconds } from "../support/clock.ts";
import type { RandomSource } from "../support/random.ts";
import type { VmIdentity } from "../vms/identity.ts";

/// Asks other VMs whether they reach an upstream. One that this VM can't reach may
/// have ended, or only this VM has lost its path to it.

/// VMs that are asked. A partition often affects most VMs of a data centre, so
/// they are chosen from different ones where possible.
const MAXIMUM_ASKED_VMS = 4;
/// Longer than a VM takes to find out that an upstream doesn't respond.
const CHECK_TIMEOUT_MILLISECONDS: Milliseconds = 2_500;

const checkCall = defineCall("upstream.check", {
  request: Type.Object({ upstream: Type.String() }),
  reply: Type.Object({ isReached: Type.Boolean() }),
});

/// Checks of upstreams by other VMs.
export interface UpstreamChecks {
  /// Whether another VM reaches the upstream now; false if none responds.
  isReachedByOthers(upstream: string): Promise<boolean>;
}

export interface UpstreamChecksOptions {
  readonly links: Links;
  readonly random: RandomSource;
  /// Whether this VM reaches an upstream now; false if it doesn't know it.
  readonly reaches: (upstream: string) => Promise<boolean>;
}

function chooseVms(
  peers: readonly VmIdentity[],
  random: RandomSource,
): string[] {
  const countByDataCentre = new Map<string, number>();
  return peers
    .map((peer) => ({ peer, order: random.next() }))
    .sort((left, right) => left.order - right.order)
    .map(({ peer: { vm, dataCentre } }) => {
      const rank = countByDataCentre.get(dataCentre) ?? 0;
      countByDataCentre.set(dataCentre, rank + 1);
      return { vm, rank };
    })
    .sort((left, right) => left.rank - right.rank)
    .slice(0, MAXIMUM_ASKED_VMS)
    .map(({ vm }) => vm);
}

/// Creates the checks of one VM, which also answers those of others.
export function createUpstreamChecks(
  { links, random, reaches }: UpstreamChecksOptions,
): UpstreamChecks {
  links.onCall(checkCall, async ({ upstream }) => ({
    isReached: await reaches(upstream),
  }));
  return {
    isReachedByOthers: (upstream) =>
      anyTrue(
        chooseVms(links.peers(), random).map(async (vm) => {
          const { isReached } = await links.call(vm, checkCall, { upstream }, {
            timeoutMilliseconds: CHECK_TIMEOUT_MILLISECONDS,
          });
          return isReached;
        }),
      ),
  };
}
