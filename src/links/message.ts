import type { Static, TSchema } from "@sinclair/typebox";

/// A one-way message between VMs. The module that the message belongs to defines
/// it; links only transport it.
export interface MessageType<Schema extends TSchema> {
  readonly name: string;
  readonly schema: Schema;
  /// Returns a message's key. In the send queue, a message replaces one with the
  /// same key. Without this function, messages aren't replaced.
  readonly replaceKey?: (value: Static<Schema>) => string;
}

/// A request to one VM and its reply.
export interface CallType<Request extends TSchema, Reply extends TSchema> {
  readonly name: string;
  readonly request: Request;
  readonly reply: Reply;
}

/// Defines a message; `name` is unique, for example `sheet.head`.
export function defineMessage<Schema extends TSchema>(
  name: string,
  schema: Schema,
  options: { replaceKey?: (value: Static<Schema>) => string } = {},
): MessageType<Schema> {
  return { name, schema, replaceKey: options.replaceKey };
}

/// Defines a call; `name` is unique, for example `ledger.claim`.
export function defineCall<Request extends TSchema, Reply extends TSchema>(
  name: string,
  types: { request: Request; reply: Reply },
): CallType<Request, Reply> {
  return { name, request: types.request, reply: types.reply };
}
