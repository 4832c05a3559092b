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
import type { QueueRequirements } from "./request_queues.ts";
import type { OpenRequest, RequestRegistry } from "./request_registry.ts";
import type { ServiceRunner } from "./service_run.ts";

/// Handles requests independently of the transport: authentication, the rules
/// of the contract, admission, the deadline, and exactly one recorded outcome.

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
  /// Whether shorter prompts run first at the engines; true by default.
  readonly ordersByLength?: boolean;
  /// Replaced by measurements, whose prompts have a length but no text.
  readonly describePrompt?: typeof describePrompt;
  readonly issuedKeys: IssuedKeys;
}

/// A request as it was received, not authenticated yet.
export interface ReceivedRequest {
  readonly id: string;
  readonly headers: CallerHeaders;
  /// Aborts when the caller closes its connection, or when this VM stops.
  readonly disconnectSignal: AbortSignal;
}

/// Delivers an answer to the caller. It stops waiting when `signal` aborts.
export type AnswerSink = (
  answer: AsyncIterable<EngineChunk>,
  signal: AbortSignal,
) => Promise<void>;

export interface ReceivedServiceCall {
  readonly service: string;
  readonly call: Omit<ServiceCall, "idempotencyKey">;
}

export interface RequestHandler {
  /// Runs a completion and passes its answer to `sink`. Throws `RequestError`.
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

interface AuthenticatedCaller {
  readonly received: ReceivedRequest;
  readonly customer: Customer;
  readonly contracts: Contracts;
}

interface RequestPlan {
  readonly open: OpenRequest;
  readonly caller: AuthenticatedCaller;
  readonly tokens: number;
  readonly isLong: boolean;
  readonly requirements?: QueueRequirements;
  /// Time until the deadline.
  readonly timeout: Milliseconds;
}

/// The less urgent of the customer's priority and the requested one.
function effectivePriority(
  { customer, received }: AuthenticatedCaller,
): Priority {
  const contract = PRIORITIES.indexOf(customer.priority);
  const requested = received.headers.priority ?? PRIORITIES[0];
  return PRIORITIES[Math.max(contract, PRIORITIES.indexOf(requested))]!;
}

function chooseVersion(shares: readonly ModelShare[], random: RandomSource) {
  const total = shares.reduce((sum, share) => sum + share.share, 0);
  let remaining = random.next() * total;
  for (const share of shares) {
    remaining -= share.share;
    if (remaining < 0) return share.version;
  }
  return shares.at(-1)!.version;
}

/// The resume point of a long request with a key. Any VM can resume such a
/// request.
function resumePointOf(
  { customer, received }: AuthenticatedCaller,
  isLong: boolean,
) {
  const { idempotencyKey, resumeOffset } = received.headers;
  if (!isLong || idempotencyKey === undefined) return undefined;
  if (idempotencyKey.length > MAXIMUM_KEY_LENGTH) {
    throw new RequestError("key_invalid");
  }
  const key = `${customer.name} ${idempotencyKey}`;
  return { key, offset: resumeOffset ?? 0 };
}

/// Time that the request may take: the smaller of the caller's limit and the
/// contract's. With 0 in the contract, the caller has to set one.
function timeoutOf(
  { customer, received }: AuthenticatedCaller,
  isLong: boolean,
) {
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

  const authenticate = (received: ReceivedRequest): AuthenticatedCaller => {
    const contracts = book.current();
    const customer = contracts.customerOf(received.headers.keyHash);
    if (!customer) throw new RequestError("unauthenticated");
    return { received, customer, contracts };
  };

  /// Admits the request and runs `action` with a signal that aborts at the
  /// deadline. The request has ended when the promise settles.
  const admitAndRun = async <Result>(
    plan: RequestPlan,
    action: (context: RunContext) => Promise<Result>,
  ): Promise<Result> => {
    const { open, caller } = plan;
    const deadline = startDeadline(clock, plan.timeout);
    const signal = AbortSignal.any([
      deadline.signal,
      caller.received.disconnectSignal,
    ]);
    let release = () => {};
    try {
      const { tokens, isLong, requirements, timeout } = plan;
      const engines = requirements && { requirements, remaining: timeout };
      const { customer } = caller;
      const request = { customer, tokens, isLong, engines };
      const ticket = await admission.admit(request);
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
    caller: AuthenticatedCaller,
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
      resumePoint: resumePointOf(caller, isLong),
    };
  };

  async function* recordUsage(
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
      const request = planCompletion(caller, completion);
      const { customer, isLong } = request;
      const promptTokens = request.prompt.tokens;
      const timeout = timeoutOf(caller, isLong);
      const open = registry.open({
        id: received.id,
        kind: "completion",
        customer,
        target: request.model,
        promptTokens,
        isLong,
      });
      const tokens = promptTokens + request.maximumTokens;
      const requirements = { ...request, weight: caller.customer.weight };
      const plan = { open, caller, tokens, isLong, timeout, requirements };
      await admitAndRun(plan, async (context) => {
        const answer = options.completions.run(request, context);
        await sink(recordUsage(answer, request), context.signal);
      });
    },
    async callService(received, { service, call }) {
      const caller = authenticate(received);
      const { contracts } = caller;
      if (contracts.upstreamsOf("service", service).length === 0) {
        throw new RequestError("service_unknown");
      }
      const timeout = timeoutOf(caller, false);
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
      const plan = { open, caller, tokens: 0, isLong: false, timeout };
      return await admitAndRun(plan, (context) => {
        const keyed = { ...call, idempotencyKey };
        const request = { customer, service, call: keyed, contracts };
        return options.services.run(request, context);
      });
    },
    issueKey(received) {
      const { customer } = authenticate(received);
      admission.admitShort(customer, 0).release();
      return options.issuedKeys.issue();
    },
  };
}
