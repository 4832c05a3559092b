import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { request } from "undici";
import type { Clock } from "../support/clock.ts";

/// One machine as the platform's list shows it. The list lags.
export const ListedVm = Type.Object({
  name: Type.String(),
  dataCentre: Type.String(),
  /// `host:port` of its link port.
  linkAddress: Type.String(),
  state: Type.Union([Type.Literal("live"), Type.Literal("leaving")]),
  /// What runs on it; an entry VM if absent. The name of an upstream is that
  /// of the sheet.
  kind: Type.Optional(
    Type.Union([Type.Literal("entry"), Type.Literal("upstream")]),
  ),
});
export type ListedVm = Static<typeof ListedVm>;

const VmListDocument = Type.Object({ vms: Type.Array(ListedVm) });

/// Reads the platform's list of machines.
export interface VmList {
  /// Throws `VmListUnavailableError`.
  read(): Promise<readonly ListedVm[]>;
}

/// The list could not be read; the last one read stays in use.
export class VmListUnavailableError extends Error {
  override readonly name = "VmListUnavailableError";
}

const READ_TIMEOUT_MILLISECONDS = 2_000;

/// A client of the list at `url`.
export function createHttpVmList(url: string): VmList {
  return {
    async read() {
      try {
        const signal = AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS);
        const response = await request(url, { signal });
        const document = await response.body.json();
        return Value.Parse(VmListDocument, document).vms;
      } catch (error) {
        throw new VmListUnavailableError("the VM list was not readable", {
          cause: error,
        });
      }
    },
  };
}

const CACHE_MILLISECONDS = 900;

/// A list that its readers share: reads that come together or shortly after
/// each other make one call.
export function createCachedVmList(vmList: VmList, clock: Clock): VmList {
  let latest: Promise<readonly ListedVm[]> | undefined;
  let readAt = 0;
  return {
    read() {
      const now = clock.now();
      if (!latest || now - readAt >= CACHE_MILLISECONDS) {
        readAt = now;
        latest = vmList.read();
      }
      return latest;
    },
  };
}
