import type { ContractBook, Contracts } from "../contracts/contract_book.ts";
import {
  type Customer,
  type ModelShare,
  PRIORITIES,
  type Priority,
} from "../contracts/sheet.ts";
import type { Clock, Milliseconds } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { RandomSource } from "../support/random.ts";
import type { EngineChunk } from "../upstreams/engine_client.ts";
import { describePrompt } from "../upstreams/prompt_blocks.ts";
import type {
  ServiceAnswer,
  ServiceCall,
} from "../upstreams/service_client.ts";
import type { TokenEstimator } from "../upstreams/token_estimator.ts";
import type { Admission } from "./admission.ts";
import type { CallerCompletion } from "./caller_body.ts";
import type { CallerHeaders } from "./caller_headers.ts";
import type { CompletionRequest, RunContext } from "./completion_request.ts";
import type { CompletionRunner } from "./completion_run.ts";
import { startDeadline } from "./deadline.ts";
import { enginePriority } from "./engine_priority.ts";
import type { IssuedKeys } from "./issued_keys.ts";
import { fingerprintOf } from "./quarantine.ts";
import { RequestError, toRequestError } from "./request_error.ts";
import type { QueueNeed } from "./request_queues.ts";
import type { OpenRequest, RequestRegistry } from "./request_registry.ts";
import type { ServiceRunner } from "./service_run.ts";

/// The life of a request, independent of how callers connect: authentication,
/// the contract, admission, the deadline, and one known end.

export interface RequestHandlerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Logger;
  readonly book: ContractBook;
  readonly registry: RequestRegistry;
  readonly admission: Admission;
  readonly completions: CompletionRunner;
  readonly services: ServiceRunner;
  readonly estimator: TokenEstimator;
  /// Whether shorter prompts go first at the engines; true unless given.
  readonly ordersByLength?: boolean;
  /// Measurements give prompts a length without giving them a text.
  readonly describePrompt?: typeof describePrompt;
  readonly issuedKeys: IssuedKeys;
}

/// A request as it came in.
export interface ReceivedRequest {
  readonly id: string;
  readonly headers: CallerHeaders;
  /// Aborts when the caller closes its connection.
  readonly disconnectSignal: AbortSignal;
}

/// Hands an answer to the caller. `signal` bounds its waits.
export type AnswerSink = (
  answer: AsyncIterable<EngineChunk>,
  signal: AbortSignal,
) => Promise<void>;

export interface ReceivedServiceCall {
  readonly service: string;
  readonly call: Omit<ServiceCall, "idempotencyKey">;
}

export interface RequestHandler {
  /// Runs a completion and feeds its answer to `sink`. Throws `RequestError`.
  complete(
    received: ReceivedRequest,
    completion: CallerCompletion,
    sink: AnswerSink,
  ): Promise<void>;
  /// Runs a call of a service. Throws `RequestError`.
  callService(
    received: ReceivedRequest,
    call: ReceivedServiceCall,
  ): Promise<ServiceAnswer>;
  /// Issues an idempotency key. Throws `RequestError`.
  issueKey(received: ReceivedRequest): string;
}

const MAXIMUM_KEY_LENGTH = 160;

interface Authenticated {
  readonly received: ReceivedRequest;
  readonly customer: Customer;
  readonly contracts: Contracts;
}

interface Work {
  readonly open: OpenRequest;
  readonly caller: Authenticated;
  readonly tokens: number;
  readonly isLong: boolean;
  readonly need?: QueueNeed;
  /// Time until its deadline.
  readonly limit: Milliseconds;
}

/// The less urgent of the customer's priority and the one asked for.
function effectivePriority({ customer, received }: Authenticated): Priority {
  const contract = PRIORITIES.indexOf(customer.priority);
  const asked = received.headers.priority ?? PRIORITIES[0];
  return PRIORITIES[Math.max(contract, PRIORITIES.indexOf(asked))]!;
}

function chooseVersion(shares: readonly ModelShare[], random: RandomSource) {
  const total = shares.reduce((sum, share) => sum + share.share, 0);
  let point = random.next() * total;
  for (const share of shares) {
    point -= share.share;
    if (point < 0) return share.version;
  }
  return shares.at(-1)!.version;
}

/// A long request with a key can be taken over at any entry.
function resumableBy({ customer, received }: Authenticated, isLong: boolean) {
  const { idempotencyKey, resumeOffset } = received.headers;
  if (!isLong || idempotencyKey === undefined) return undefined;
  if (idempotencyKey.length > MAXIMUM_KEY_LENGTH) {
    throw new RequestError("key_invalid");
  }
  const key = `${customer.name} ${idempotencyKey}`;
  return { key, offset: resumeOffset ?? 0 };
}

/// Time the request may take: the smaller of the caller's and the contract's.
/// A contract may leave it to the caller.
function deadlineOf({ customer, received }: Authenticated, isLong: boolean) {
  const limit = isLong
    ? customer.longDeadlineMilliseconds
    : customer.shortDeadlineMilliseconds;
  const { deadline } = received.headers;
  if (limit > 0) return Math.min(deadline ?? limit, limit);
  if (deadline === undefined) throw new RequestError("deadline_missing");
  return deadline;
}

export function createRequestHandler(
  options: RequestHandlerOptions,
): RequestHandler {
  const { clock, random, book, registry, admission, log, estimator } = options;
  const describe = options.describePrompt ?? describePrompt;

  const authenticate = (received: ReceivedRequest): Authenticated => {
    const contracts = book.current();
    const customer = contracts.customerOf(received.headers.keyHash);
    if (!customer) throw new RequestError("unauthenticated");
    return { received, customer, contracts };
  };

  /// Admits the request and runs `action` under its deadline. The request
  /// has ended when this settles.
  const carryOut = async <Result>(
    work: Work,
    action: (context: RunContext) => Promise<Result>,
  ): Promise<Result> => {
    const { open, caller } = work;
    const deadline = startDeadline(clock, work.limit);
    const signal = AbortSignal.any([
      deadline.signal,
      caller.received.disconnectSignal,
    ]);
    let release = () => {};
    try {
      const { tokens, isLong, need, limit } = work;
      const engines = need && { need, remaining: limit };
      const { customer } = caller;
      const question = { customer, tokens, isLong, engines };
      const ticket = await admission.admit(question);
      release = () => ticket.release();
      await ticket.whenReady(signal);
      open.update({ state: "admitted" });
      const result = await action({ open, deadline, signal });
      open.end();
      return result;
    } catch (thrown) {
      const error = toRequestError(thrown);
      if (error.code === "internal") {
        const reason = String((error.cause as Error)?.stack ?? error.cause);
        log.warn("internal error", { requestId: open.id, reason });
      }
      open.end(error);
      throw error;
    } finally {
      deadline.clear();
      release();
    }
  };

  const planCompletion = (
    caller: Authenticated,
    completion: CallerCompletion,
  ): CompletionRequest => {
    const { contracts, customer } = caller;
    const { model, maximumTokens } = completion;
    if (!contracts.hasModel(model)) throw new RequestError("model_unknown");
    const shares = contracts.sharesOf(customer.name, model);
    if (shares.length === 0) throw new RequestError("model_not_allowed");
    const bytesPerToken = estimator.bytesPerToken(model);
    const prompt = describe(completion.prompt, bytesPerToken);
    const isLong = prompt.tokens >= contracts.options.longPromptTokens;
    const level = PRIORITIES.indexOf(effectivePriority(caller));
    return {
      id: caller.received.id,
      customer: customer.name,
      fingerprint: fingerprintOf({
        customer: customer.name,
        model,
        body: JSON.stringify([completion.prompt, maximumTokens]),
      }),
      model,
      version: chooseVersion(shares, random),
      prompt,
      maximumTokens,
      priority: enginePriority({
        ...contracts.options,
        level,
        tokens: prompt.tokens,
        ordersByLength: options.ordersByLength ?? true,
      }),
      isLong,
      resumePoint: resumableBy(caller, isLong),
    };
  };

  async function* learnUsage(
    answer: AsyncIterable<EngineChunk>,
    { model, prompt }: CompletionRequest,
  ): AsyncIterable<EngineChunk> {
    for await (const chunk of answer) {
      if (chunk.end) {
        const bytes = Buffer.byteLength(prompt.text);
        const tokens = chunk.end.usage.promptTokens;
        estimator.learn(model, { bytes, tokens });
      }
      yield chunk;
    }
  }

  return {
    async complete(received, completion, sink) {
      const caller = authenticate(received);
      const plan = planCompletion(caller, completion);
      const { customer, isLong } = plan;
      const promptTokens = plan.prompt.tokens;
      const limit = deadlineOf(caller, isLong);
      const open = registry.open({
        id: received.id,
        kind: "completion",
        customer,
        target: plan.model,
        promptTokens,
        isLong,
      });
      const tokens = promptTokens + plan.maximumTokens;
      const need = { ...plan, weight: caller.customer.weight };
      const work = { open, caller, tokens, isLong, limit, need };
      await carryOut(work, async (context) => {
        const answer = options.completions.run(plan, context);
        await sink(learnUsage(answer, plan), context.signal);
      });
    },
    async callService(received, { service, call }) {
      const caller = authenticate(received);
      const { contracts } = caller;
      if (contracts.upstreamsOf("service", service).length === 0) {
        throw new RequestError("service_unknown");
      }
      const limit = deadlineOf(caller, false);
      const customer = caller.customer.name;
      const open = registry.open({
        id: received.id,
        kind: "service",
        customer,
        target: service,
        promptTokens: 0,
        isLong: false,
      });
      const { idempotencyKey } = received.headers;
      const work = { open, caller, tokens: 0, isLong: false, limit };
      return await carryOut(work, (context) => {
        const keyed = { ...call, idempotencyKey };
        const plan = { customer, service, call: keyed, contracts };
        return options.services.run(plan, context);
      });
    },
    issueKey(received) {
      const { customer } = authenticate(received);
      admission.admitShort(customer, 0).release();
      return options.issuedKeys.issue();
    },
  };
}
