import { type Static, Type } from "@sinclair/typebox";
import { TypeCompiler } from "@sinclair/typebox/compiler";
import { request } from "undici";
import type { Clock } from "../support/clock.ts";
import { parseSocketAddress } from "../support/socket_address.ts";

/// A VM in the platform's list. The list lags behind the VMs' actual states.
export const ListedVm = Type.Object({
  name: Type.String(),
  dataCentre: Type.String(),
  /// `host:port` of its link port.
  linkAddress: Type.String(),
  state: Type.Union([Type.Literal("live"), Type.Literal("leaving")]),
  /// Processor cores of the VM.
  capacity: Type.Optional(Type.Number({ minimum: 0 })),
  /// What runs on the VM; an entry VM if absent. An upstream has the same name
  /// here as in the sheet.
  kind: Type.Optional(
    Type.Union([Type.Literal("entry"), Type.Literal("upstream")]),
  ),
});
export type ListedVm = Static<typeof ListedVm>;

const vmListDocument = TypeCompiler.Compile(
  Type.Object({ vms: Type.Array(Type.Unknown()) }),
);
const listedVm = TypeCompiler.Compile(ListedVm);

/// Whether a VM is listed with all that is needed to use it.
function isUsable(vm: unknown): vm is ListedVm {
  return listedVm.Check(vm) &&
    (vm.kind === "upstream" ||
      parseSocketAddress(vm.linkAddress) !== undefined);
}

/// The platform's list of VMs.
export interface VmList {
  /// Returns all VMs that are listed in a usable way. Throws `VmListUnavailableError`.
  read(): Promise<readonly ListedVm[]>;
}

/// The list could not be read. Callers go on using the last list that they read.
export class VmListUnavailableError extends Error {
  override readonly name = "VmListUnavailableError";
}

const READ_TIMEOUT_MILLISECONDS = 2_000;

/// Creates a client of the list at `url`.
export function createHttpVmList(url: string): VmList {
  return {
    async read() {
      try {
        const signal = AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS);
        const response = await request(url, { signal });
        const document = await response.body.json();
        if (!vmListDocument.Check(document)) throw new TypeError("no VM list");
        return document.vms.filter(isUsable);
      } catch (error) {
        throw new VmListUnavailableError("no valid response from the VM list", {
          cause: error,
        });
      }
    },
  };
}

const MAXIMUM_CACHE_AGE_MILLISECONDS = 900;

/// Caches `vmList`, so that concurrent reads and reads in quick succession share
/// one call.
export function createCachedVmList(vmList: VmList, clock: Clock): VmList {
  let cached: Promise<readonly ListedVm[]> | undefined;
  let readAt = 0;
  return {
    read() {
      const now = clock.now();
      if (!cached || now - readAt >= MAXIMUM_CACHE_AGE_MILLISECONDS) {
        readAt = now;
        cached = vmList.read();
      }
      return cached;
    },
  };
}
