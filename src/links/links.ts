import type { Static, TSchema } from "@sinclair/typebox";
import type { Milliseconds } from "../support/clock.ts";
import type { VmIdentity } from "../vms/identity.ts";
import type { CallType, MessageType } from "./message.ts";

export type MessageHandler<Schema extends TSchema> = (
  value: Static<Schema>,
  from: VmIdentity,
) => void;

export type CallHandler<Request extends TSchema, Reply extends TSchema> = (
  value: Static<Request>,
  from: VmIdentity,
) => Promise<Static<Reply>>;

export interface LinkCallOptions {
  readonly timeoutMilliseconds?: Milliseconds;
}

/// This VM's connections to other VMs, direct or relayed.
export interface Links {
  readonly self: VmIdentity;
  /// Returns the VMs that are connected.
  peers(): readonly VmIdentity[];
  /// Returns the VMs that this VM has a link to; the others are reached over
  /// them.
  neighbours(): readonly VmIdentity[];
  /// Returns the names of the hubs of a data centre, this VM's own by default,
  /// that this VM is or has a link to, the first one to be preferred. Undefined
  /// if all VMs have links to each other, or the topology has no hubs.
  hubs(dataCentre?: string): readonly string[] | undefined;
  /// Queues a message. Returns false if `vm` is not connected.
  send<Schema extends TSchema>(
    vm: string,
    type: MessageType<Schema>,
    value: Static<Schema>,
  ): boolean;
  /// Sends a message to every connected VM.
  broadcast<Schema extends TSchema>(
    type: MessageType<Schema>,
    value: Static<Schema>,
  ): void;
  /// Calls `vm` and returns its reply. Throws `LinkUnreachableError` if nothing
  /// was sent and `LinkUnansweredError` if the call may have been handled.
  call<Request extends TSchema, Reply extends TSchema>(
    vm: string,
    type: CallType<Request, Reply>,
    value: Static<Request>,
    options?: LinkCallOptions,
  ): Promise<Static<Reply>>;
  onMessage<Schema extends TSchema>(
    type: MessageType<Schema>,
    handler: MessageHandler<Schema>,
  ): void;
  onCall<Request extends TSchema, Reply extends TSchema>(
    type: CallType<Request, Reply>,
    handler: CallHandler<Request, Reply>,
  ): void;
  /// Calls `listener` after a VM connects or disconnects.
  onPeersChange(listener: () => void): void;
}

/// The VM is not connected; nothing was sent.
export class LinkUnreachableError extends Error {
  override readonly name = "LinkUnreachableError";
}

/// The call was sent, and then timed out, failed at the peer or lost its link. It
/// may have been handled.
export class LinkUnansweredError extends Error {
  override readonly name: string = "LinkUnansweredError";
}

/// The called VM runs a build that doesn't know the call.
export class UnknownCallError extends LinkUnansweredError {
  override readonly name = "UnknownCallError";
}

/// Start of the reply to a call that the called VM doesn't know. Earlier builds
/// send the same.
const UNKNOWN_CALL_TEXT = "unknown call ";

/// Returns the error that a VM replies to a call that it doesn't know.
export function createUnknownCallReply(name: string): Error {
  return new Error(UNKNOWN_CALL_TEXT + name);
}

/// Returns the error of a call whose reply is the text of an error.
export function toCallError(reply: string): LinkUnansweredError {
  return reply.startsWith(UNKNOWN_CALL_TEXT)
    ? new UnknownCallError(reply)
    : new LinkUnansweredError(reply);
}
