/// Addresses of the form `host:port`.

const MAXIMUM_PORT = 65_535;
const ADDRESS_PATTERN = /^(?:\[([0-9A-Fa-f:.]+)\]|([\w.-]+)):([0-9]{1,5})$/;

/// A host and the port of a process that listens there.
export interface SocketAddress {
  /// Without the brackets of an IPv6 address.
  readonly host: string;
  readonly port: number;
}

/// Parses `host:port`. Returns undefined if there is no such address: port 0 and
/// ports out of range belong to no process, and 999.1.1.1 is no host.
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const [, bracketed, plain, digits] = ADDRESS_PATTERN.exec(text) ?? [];
  const host = bracketed ?? plain;
  const port = Number(digits);
  if (host === undefined || port < 1 || port > MAXIMUM_PORT) return undefined;
  return URL.canParse(`http://${text}`) ? { host, port } : undefined;
}
