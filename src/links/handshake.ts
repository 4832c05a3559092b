import { createHmac, timingSafeEqual } from "node:crypto";
import type { VmIdentity } from "../vms/identity.ts";
import type { VersionRange } from "./frame.ts";

/// Mutual proof that both ends of a link hold a shared secret. Each proof
/// covers both challenges, both identities, both version ranges and the role
/// of its sender, so that it is worth nothing on any other connection or in
/// the other direction.

export type LinkRole = "dialler" | "acceptor";

/// What one end said in its hello.
export interface LinkEnd {
  readonly identity: VmIdentity;
  readonly nonce: string;
  readonly versions: VersionRange;
  readonly role: LinkRole;
}

function describe({ identity, nonce, versions, role }: LinkEnd) {
  const { vm, incarnation, dataCentre } = identity;
  const { oldest, newest } = versions;
  return [role, vm, incarnation, dataCentre, nonce, oldest, newest];
}

/// The proof of `sender` towards `receiver`, one digest for each secret.
export function proveLink(
  secrets: readonly string[],
  ends: { readonly sender: LinkEnd; readonly receiver: LinkEnd },
): string[] {
  const text = JSON.stringify([describe(ends.sender), describe(ends.receiver)]);
  return secrets.map((secret) =>
    createHmac("sha256", secret).update(text).digest("hex")
  );
}

function matches(left: string, right: string): boolean {
  const first = Buffer.from(left);
  const second = Buffer.from(right);
  return first.length === second.length && timingSafeEqual(first, second);
}

/// Whether one of the digests given is one of those expected.
export function isProven(
  given: readonly string[],
  expected: readonly string[],
): boolean {
  return given.some((digest) => expected.some((own) => matches(digest, own)));
}

/// The newest version that both speak, or undefined.
export function negotiateVersion(
  own: VersionRange,
  other: VersionRange,
): number | undefined {
  const version = Math.min(own.newest, other.newest);
  return version >= Math.max(own.oldest, other.oldest) ? version : undefined;
}
