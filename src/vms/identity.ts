import { type Static, Type } from "@sinclair/typebox";

/// Names one run of one entry VM. A restarted daemon has a new incarnation.
export const VmIdentity = Type.Object({
  vm: Type.String(),
  incarnation: Type.String(),
  dataCentre: Type.String(),
});
export type VmIdentity = Static<typeof VmIdentity>;
