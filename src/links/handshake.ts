import { createHmac, timingSafeEqual } from "node:crypto";
import type { VmIdentity } from "../vms/identity.ts";
import type { VersionRange } from "./frame.ts";

/// Mutual authentication of the two ends of a link by a shared secret. Each
/// proof covers both nonces, both identities, both version ranges and the role of
/// its sender, so that it is invalid on any other connection and in the other
/// direction.

export type LinkRole = "dialler" | "acceptor";

/// The contents of one end's hello frame, and its role.
export interface LinkEndpoint {
  readonly identity: VmIdentity;
  readonly nonce: string;
  readonly versions: VersionRange;
  readonly role: LinkRole;
}

function proofFieldsOf({ identity, nonce, versions, role }: LinkEndpoint) {
  const { vm, incarnation, dataCentre } = identity;
  const { oldest, newest } = versions;
  return [role, vm, incarnation, dataCentre, nonce, oldest, newest];
}

/// Returns the proof that `sender` sends to `receiver`: one HMAC for each secret.
export function proveLink(
  secrets: readonly string[],
  ends: { readonly sender: LinkEndpoint; readonly receiver: LinkEndpoint },
): string[] {
  const text = JSON.stringify([
    proofFieldsOf(ends.sender),
    proofFieldsOf(ends.receiver),
  ]);
  return secrets.map((secret) =>
    createHmac("sha256", secret).update(text).digest("hex")
  );
}

function matches(left: string, right: string): boolean {
  const first = Buffer.from(left);
  const second = Buffer.from(right);
  return first.length === second.length && timingSafeEqual(first, second);
}

/// Whether one of the received digests equals one of the expected ones.
export function isProven(
  received: readonly string[],
  expected: readonly string[],
): boolean {
  return received.some((digest) =>
    expected.some((candidate) => matches(digest, candidate))
  );
}

/// Returns the newest version that both ends support, or undefined.
export function negotiateVersion(
  local: VersionRange,
  remote: VersionRange,
): number | undefined {
  const version = Math.min(local.newest, remote.newest);
  return version >= Math.max(local.oldest, remote.oldest) ? version : undefined;
}
