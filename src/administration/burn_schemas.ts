import { type Static, Type } from "@sinclair/typebox";
import { defineCall } from "../links/message.ts";

/// The message in which VMs report their service-level counts, and the merged
/// report.

const Counts = Type.Object({
  total: Type.Integer({ minimum: 0 }),
  bad: Type.Integer({ minimum: 0 }),
});

/// One VM's counts, by objective and window.
export const VmCounts = Type.Object({
  /// Time since the VM started counting.
  ageMilliseconds: Type.Number(),
  objectives: Type.Array(Type.Object({
    name: Type.String(),
    windows: Type.Array(Type.Object({
      name: Type.String(),
      /// By age, the newest first.
      buckets: Type.Array(Counts),
    })),
  })),
});
export type VmCounts = Static<typeof VmCounts>;

export const BurnWindowsCall = defineCall("burn.windows", {
  request: Type.Object({}),
  reply: VmCounts,
});

const BurnWindow = Type.Object({
  name: Type.String(),
  milliseconds: Type.Number(),
  ...Counts.properties,
  /// Burn rate: spending of the error budget relative to an even spending over
  /// the window. At 1 the budget is spent exactly when the window ends.
  burn: Type.Number(),
  /// Burn rate of each bucket by age, the newest first.
  series: Type.Array(Type.Number()),
  /// Length of a bucket. The window covers up to one bucket more than its
  /// length.
  bucketMilliseconds: Type.Number(),
  /// VMs that have counted for less than the window.
  partialVms: Type.Array(Type.String()),
});

export const BurnReport = Type.Object({
  /// VMs whose counts are in the report.
  vms: Type.Array(Type.String()),
  /// Member VMs that did not reply; their counts are missing.
  missing: Type.Array(Type.String()),
  objectives: Type.Array(Type.Object({
    name: Type.String(),
    description: Type.String(),
    target: Type.Number(),
    alert: Type.Union([
      Type.Literal("none"),
      Type.Literal("slow"),
      Type.Literal("fast"),
    ]),
    windows: Type.Array(BurnWindow),
  })),
});
export type BurnReport = Static<typeof BurnReport>;
export type BurnWindow = Static<typeof BurnWindow>;
