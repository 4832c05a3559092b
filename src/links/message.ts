import type { Static, TSchema } from "@sinclair/typebox";

/// A one-way message between VMs. The module that owns the matter defines it;
/// the links only carry it.
export interface MessageType<Schema extends TSchema> {
  readonly name: string;
  readonly schema: Schema;
  /// Messages with the same key replace each other while they wait to be
  /// sent. Without it, a message is queued as it is.
  readonly replaceKey?: (value: Static<Schema>) => string;
}

/// A question to one VM and its answer.
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
