import { createHmac, timingSafeEqual } from "node:crypto";

/// Credentials of a request for a tunnel: a keyed hash of the address, so that
/// programs without the secret of the links get none.

/// Header field with the name of the VM that asks for a tunnel.
export const TUNNEL_VM_FIELD = "x-tunnel-vm";

/// Returns the value of `Proxy-Authorization` for a tunnel to an address.
export function tunnelCredentials(secret: string, address: string): string {
  const digest = createHmac("sha256", secret).update(`tunnel ${address}`)
    .digest("hex");
  return `Tunnel ${digest}`;
}

/// Whether `received` are the credentials for a tunnel to an address.
export function isTunnelAllowed(
  received: string | undefined,
  { secrets, address }: {
    readonly secrets: readonly string[];
    readonly address: string;
  },
): boolean {
  const left = Buffer.from(received ?? "");
  return secrets.some((secret) => {
    const right = Buffer.from(tunnelCredentials(secret, address));
    return left.length === right.length && timingSafeEqual(left, right);
  });
}
