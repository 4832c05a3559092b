import { type Static, Type } from "@sinclair/typebox";

/// Identifies one incarnation of an entry VM. A restarted daemon has a new one.
export const VmIdentity = Type.Object({
  vm: Type.String(),
  incarnation: Type.String(),
  dataCentre: Type.String(),
});
export type VmIdentity = Static<typeof VmIdentity>;
