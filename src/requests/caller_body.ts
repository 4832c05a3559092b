import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { RequestError } from "./request_error.ts";

/// The bodies that callers send, in the shape of the published completions
/// interface.

const MAXIMUM_GENERATED_TOKENS = 65_536;
const DEFAULT_GENERATED_TOKENS = 16;

const Shared = {
  model: Type.String({ minLength: 1 }),
  max_tokens: Type.Optional(
    Type.Integer({ minimum: 1, maximum: MAXIMUM_GENERATED_TOKENS }),
  ),
  stream: Type.Optional(Type.Boolean()),
};

const CompletionBody = Type.Object({
  ...Shared,
  prompt: Type.String({ minLength: 1 }),
});

const ChatBody = Type.Object({
  ...Shared,
  messages: Type.Array(
    Type.Object({ role: Type.String(), content: Type.String() }),
    { minItems: 1 },
  ),
});

/// What both bodies come down to.
export interface CallerCompletion {
  readonly isChat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly stream: boolean;
}

function check<Schema extends typeof CompletionBody | typeof ChatBody>(
  schema: Schema,
  body: unknown,
): Static<Schema> {
  if (Value.Check(schema, body)) return body;
  const faults = [...Value.Errors(schema, body)].slice(0, 5).map((fault) =>
    `${fault.path || "/"}: ${fault.message}`
  );
  const detail = faults.join("; ");
  throw new RequestError("malformed_request", { detail });
}

/// Reads a completion body. Throws `RequestError` with every fault.
export function readCompletionBody(body: unknown): CallerCompletion {
  const { model, prompt, ...rest } = check(CompletionBody, body);
  return {
    isChat: false,
    model,
    prompt,
    maximumTokens: rest.max_tokens ?? DEFAULT_GENERATED_TOKENS,
    stream: rest.stream ?? false,
  };
}

/// Reads a chat completion body. Throws `RequestError` with every fault.
export function readChatBody(body: unknown): CallerCompletion {
  const { model, messages, ...rest } = check(ChatBody, body);
  const turns = messages.map((turn) => `${turn.role}: ${turn.content}\n`);
  return {
    isChat: true,
    model,
    prompt: turns.join("") + "assistant:",
    maximumTokens: rest.max_tokens ?? DEFAULT_GENERATED_TOKENS,
    stream: rest.stream ?? false,
  };
}
