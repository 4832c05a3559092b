import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { RequestError } from "./request_error.ts";

/// Request bodies of the published completions interface.

const MAXIMUM_GENERATED_TOKENS = 65_536;
const DEFAULT_GENERATED_TOKENS = 16;

const SharedFields = {
  model: Type.String({ minLength: 1 }),
  max_tokens: Type.Optional(
    Type.Integer({ minimum: 1, maximum: MAXIMUM_GENERATED_TOKENS }),
  ),
  stream: Type.Optional(Type.Boolean()),
};

const CompletionBody = Type.Object({
  ...SharedFields,
  prompt: Type.String({ minLength: 1 }),
});

const ChatBody = Type.Object({
  ...SharedFields,
  messages: Type.Array(
    Type.Object({ role: Type.String(), content: Type.String() }),
    { minItems: 1 },
  ),
});

/// The parsed form of both bodies.
export interface CallerCompletion {
  readonly isChat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly stream: boolean;
}

function validate<Schema extends typeof CompletionBody | typeof ChatBody>(
  schema: Schema,
  body: unknown,
): Static<Schema> {
  if (Value.Check(schema, body)) return body;
  const errors = [...Value.Errors(schema, body)].slice(0, 5).map((error) =>
    `${error.path || "/"}: ${error.message}`
  );
  const detail = errors.join("; ");
  throw new RequestError("malformed_request", { detail });
}

/// Parses a completion body. Throws `RequestError` with the first five
/// validation errors.
export function readCompletionBody(body: unknown): CallerCompletion {
  const { model, prompt, ...rest } = validate(CompletionBody, body);
  return {
    isChat: false,
    model,
    prompt,
    maximumTokens: rest.max_tokens ?? DEFAULT_GENERATED_TOKENS,
    stream: rest.stream ?? false,
  };
}

/// Parses a chat completion body. Throws `RequestError` with the first five
/// validation errors.
export function readChatBody(body: unknown): CallerCompletion {
  const { model, messages, ...rest } = validate(ChatBody, body);
  const lines = messages.map((message) =>
    `${message.role}: ${message.content}\n`
  );
  return {
    isChat: true,
    model,
    prompt: lines.join("") + "assistant:",
    maximumTokens: rest.max_tokens ?? DEFAULT_GENERATED_TOKENS,
    stream: rest.stream ?? false,
  };
}
