import { type Static, Type } from "@sinclair/typebox";
import { Sheet } from "../contracts/sheet.ts";
import { SheetFault } from "../contracts/sheet_check.ts";
import { SheetChange } from "../contracts/sheet_diff.ts";

/// Request and response schemas of the administration API.

/// A sheet, given either as CSV or as JSON. Exactly one of the two is required.
const SheetSource = {
  csv: Type.Optional(Type.String()),
  sheet: Type.Optional(Type.Unknown()),
};

export const SheetDocument = Type.Object(SheetSource, {
  additionalProperties: false,
});
export type SheetDocument = Static<typeof SheetDocument>;

export const ApplyRequest = Type.Object({
  ...SheetSource,
  /// Revision that the sheet replaces.
  base: Type.Integer({ minimum: 0 }),
  applyId: Type.String({ minLength: 8, maxLength: 64 }),
  author: Type.String({ minLength: 1, maxLength: 64 }),
}, { additionalProperties: false });
export type ApplyRequest = Static<typeof ApplyRequest>;

export const ApplyReply = Type.Object({
  revision: Type.Integer(),
  warnings: Type.Array(Type.String()),
});
export type ApplyReply = Static<typeof ApplyReply>;

export const CheckReply = Type.Object({
  valid: Type.Boolean(),
  faults: Type.Array(SheetFault),
  warnings: Type.Array(Type.String()),
});
export type CheckReply = Static<typeof CheckReply>;

export const SheetReply = Type.Object({
  revision: Type.Integer(),
  sheet: Sheet,
});

const ChangeList = {
  /// Number of all changes, including those that `changes` omits.
  total: Type.Integer(),
  changes: Type.Array(SheetChange),
};

export const DiffReply = Type.Object({
  revision: Type.Integer(),
  ...ChangeList,
});
export type DiffReply = Static<typeof DiffReply>;

export const HistoryReply = Type.Object({
  revisions: Type.Array(Type.Object({
    revision: Type.Integer(),
    author: Type.String(),
    applyId: Type.String(),
    /// Milliseconds since the Unix epoch.
    time: Type.Number(),
  })),
});
export type HistoryReply = Static<typeof HistoryReply>;

export const RevisionsReply = Type.Object({
  newest: Type.Integer(),
  vms: Type.Array(Type.Object({
    vm: Type.String(),
    dataCentre: Type.String(),
    state: Type.String(),
    /// Undefined for a VM that can't be reached.
    revision: Type.Optional(Type.Integer()),
  })),
});
export type RevisionsReply = Static<typeof RevisionsReply>;

const UpstreamState = Type.Object({
  name: Type.String(),
  kind: Type.Union([Type.Literal("engine"), Type.Literal("service")]),
  serves: Type.String(),
  dataCentre: Type.String(),
  address: Type.String(),
  /// Whether this VM may send requests there. Undefined for a service.
  usable: Type.Optional(Type.Boolean()),
  /// Work that this VM has running there.
  outstandingRequests: Type.Optional(Type.Integer()),
  outstandingTokens: Type.Optional(Type.Number()),
  /// The engine's last load report.
  report: Type.Optional(Type.Unknown()),
});

export const UpstreamsReply = Type.Object({
  upstreams: Type.Array(UpstreamState),
});
export type UpstreamsReply = Static<typeof UpstreamsReply>;

export const StatusReply = Type.Object({
  vm: Type.Object({
    vm: Type.String(),
    incarnation: Type.String(),
    dataCentre: Type.String(),
  }),
  ready: Type.Boolean(),
  sheetRevision: Type.Integer(),
  runningRequests: Type.Integer(),
  /// The other VMs, including listed ones that can't be reached.
  peers: Type.Array(Type.Object({
    vm: Type.String(),
    incarnation: Type.Optional(Type.String()),
    dataCentre: Type.String(),
    state: Type.String(),
    reachable: Type.Boolean(),
    sheetRevision: Type.Optional(Type.Integer()),
  })),
  engines: Type.Array(UpstreamState),
  /// State of this VM's coordinator. `fencing` is set while this VM coordinates
  /// its region. Undefined on a VM without a weight store.
  steward: Type.Optional(Type.Object({
    region: Type.String(),
    fencing: Type.Optional(Type.Integer()),
    underWay: Type.Array(Type.Object({
      engine: Type.String(),
      model: Type.String(),
      version: Type.String(),
    })),
    blocked: Type.Array(Type.String()),
  })),
});
export type StatusReply = Static<typeof StatusReply>;

export const RequestsReply = Type.Object({
  running: Type.Array(Type.Object({
    id: Type.String(),
    kind: Type.String(),
    customer: Type.String(),
    target: Type.String(),
    promptTokens: Type.Number(),
    isLong: Type.Boolean(),
    state: Type.String(),
    attempt: Type.Integer(),
    upstream: Type.String(),
    ageMilliseconds: Type.Number(),
  })),
  /// Ended requests by problem code or "finished".
  ended: Type.Record(Type.String(), Type.Integer()),
});
export type RequestsReply = Static<typeof RequestsReply>;

export const UpstreamDrainRequest = Type.Object({ name: Type.String() }, {
  additionalProperties: false,
});

export const DrainReply = Type.Object({ draining: Type.Boolean() });

/// An error of the administration API.
export const AdministrationProblem = Type.Object({
  code: Type.String(),
  message: Type.String(),
  /// Faults of an invalid sheet.
  faults: Type.Optional(Type.Array(SheetFault)),
  /// The sheet that was accepted first, and its differences from the given one.
  conflict: Type.Optional(Type.Object({
    revision: Type.Integer(),
    author: Type.String(),
    time: Type.Number(),
    ...ChangeList,
  })),
});
export type AdministrationProblem = Static<typeof AdministrationProblem>;
