import { request } from "node:http";
import type { Clock, Milliseconds } from "../support/clock.ts";
import { parseSocketAddress } from "../support/socket_address.ts";
import type { Dial, DialFailure, DialResult } from "./dial.ts";
import {
  TUNNEL_FRAMES,
  TUNNEL_FRAMES_FIELD,
  TunnelConnection,
} from "./tunnel_frames.ts";
import { TUNNEL_VM_FIELD, tunnelCredentials } from "./tunnel_credentials.ts";

/// Opens connections to upstreams through another VM, with the HTTP method
/// CONNECT.

/// What the statuses of a refused tunnel say of the upstream.
const FAILURES_BY_STATUS: Readonly<Record<number, DialFailure>> = {
  502: "refused",
  504: "silent",
};

export interface TunnelDialOptions {
  readonly clock: Clock;
  /// Name of this VM.
  readonly self: string;
  /// Link address of the VM.
  readonly vmAddress: string;
  /// Address of the upstream.
  readonly address: string;
  readonly secret: string;
  readonly timeout: Milliseconds;
}

/// Asks a VM for a tunnel. Calls `onResult` once, unless cancelled.
export function dialThroughVm(
  { clock, self, vmAddress, address, secret, timeout }: TunnelDialOptions,
  onResult: (result: DialResult) => void,
): Dial {
  const target = parseSocketAddress(vmAddress);
  if (!target) {
    const reason = `tunnel: no address: ${vmAddress}`;
    const failure = "unavailable";
    const report = () => onResult({ kind: "failed", failure, reason });
    return clock.schedule(0, report);
  }
  let isSettled = false;
  const settle = (result?: DialResult) => {
    if (isSettled) return;
    isSettled = true;
    timer.cancel();
    if (result?.kind !== "connected") outgoing.destroy();
    if (result) onResult(result);
  };
  const fail = (failure: DialFailure, reason: string) =>
    settle({ kind: "failed", failure, reason: `tunnel: ${reason}` });
  const outgoing = request({
    ...target,
    agent: false,
    method: "CONNECT",
    path: address,
    headers: {
      "Proxy-Authorization": tunnelCredentials(secret, address),
      [TUNNEL_VM_FIELD]: self,
      [TUNNEL_FRAMES_FIELD]: TUNNEL_FRAMES,
    },
  });
  const timer = clock.schedule(
    timeout,
    () => fail("unavailable", `no response from ${vmAddress} in time`),
  );
  outgoing.on("error", (error) => fail("unavailable", error.message));
  outgoing.on("connect", ({ statusCode = 0, headers }, socket, head) => {
    socket.on("error", () => {
      // The tunnel passes it on.
    });
    if (statusCode !== 200 || isSettled) {
      socket.destroy();
      const failure = FAILURES_BY_STATUS[statusCode] ?? "unavailable";
      return fail(failure, `${vmAddress} responded with ${statusCode}`);
    }
    socket.setNoDelay(true);
    if (head.length > 0) socket.unshift(head);
    const isFramed = headers[TUNNEL_FRAMES_FIELD] === TUNNEL_FRAMES;
    const connection = new TunnelConnection(socket, { isFramed });
    connection.on("error", () => {
      // The user of the tunnel handles its errors.
    });
    settle({ kind: "connected", socket: connection });
  });
  outgoing.end();
  return { cancel: () => settle() };
}
