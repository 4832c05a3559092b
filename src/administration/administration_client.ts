import type { Static, TSchema } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import { request } from "undici";
import type { Sheet } from "../contracts/sheet.ts";
import { BurnReport } from "./burn_schemas.ts";
import {
  AdministrationProblem,
  ApplyReply,
  type ApplyRequest,
  CheckReply,
  DiffReply,
  DrainReply,
  HistoryReply,
  RequestsReply,
  RevisionsReply,
  type SheetDocument,
  SheetReply,
  StatusReply,
  UpstreamsReply,
} from "./administration_schemas.ts";

/// A client of a daemon's administration API.

/// The daemon responded with an error.
export class AdministrationError extends Error {
  override readonly name = "AdministrationError";
  readonly problem: AdministrationProblem;
  constructor(problem: AdministrationProblem) {
    super(problem.message);
    this.problem = problem;
  }
}

/// No connection to a daemon could be made; nothing was sent.
export class AdministrationUnreachableError extends Error {
  override readonly name = "AdministrationUnreachableError";
}

/// The request may have been sent and got no usable response; it may have
/// taken effect.
export class AdministrationUnansweredError extends Error {
  override readonly name = "AdministrationUnansweredError";
}

export interface AdministrationClient {
  readStatus(): Promise<StatusReply>;
  readUpstreams(): Promise<UpstreamsReply>;
  readRequests(): Promise<RequestsReply>;
  readSheet(): Promise<{ revision: number; sheet: Sheet }>;
  readHistory(): Promise<HistoryReply>;
  readRevisions(): Promise<RevisionsReply>;
  checkSheet(document: SheetDocument): Promise<CheckReply>;
  diffSheet(document: SheetDocument): Promise<DiffReply>;
  applySheet(applyRequest: ApplyRequest): Promise<ApplyReply>;
  readBurn(): Promise<BurnReport>;
  drain(): Promise<{ draining: boolean }>;
  /// Drains an upstream: no VM gives it new work.
  drainUpstream(name: string): Promise<Static<typeof DrainReply>>;
}

export interface AdministrationClientOptions {
  /// Daemons (`host:port`), in order of use: a request goes to the next one if
  /// the previous can't be reached.
  readonly addresses: readonly string[];
  readonly token: string;
}

interface ApiCall<Reply extends TSchema> {
  readonly method: "GET" | "PUT" | "POST";
  readonly path: string;
  readonly reply: Reply;
  readonly body?: object;
}

const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
/// Codes of errors that occur before a connection is established.
const CONNECTION_ERROR_CODES: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
  "EAI_AGAIN",
  "ERR_INVALID_URL",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function toClientError(error: unknown, address: string): Error {
  const { code, message } = error as Error & { code?: unknown };
  const options = { cause: error };
  return CONNECTION_ERROR_CODES.has(code)
    ? new AdministrationUnreachableError(
      `${address} can't be reached: ${message}`,
      options,
    )
    : new AdministrationUnansweredError(
      `${address} did not answer: ${message}`,
      options,
    );
}

/// Creates a client. Its calls throw `AdministrationError`,
/// `AdministrationUnreachableError` or `AdministrationUnansweredError`.
export function createAdministrationClient(
  { addresses, token }: AdministrationClientOptions,
): AdministrationClient {
  const sendTo = async (address: string, call: ApiCall<TSchema>) => {
    const { method, path, body } = call;
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${token}`,
          ...(body && { "content-type": "application/json" }),
        },
        body: body && JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
      });
      const replyBody = await response.body.json();
      return { succeeded: response.statusCode < 300, replyBody };
    } catch (error) {
      throw toClientError(error, address);
    }
  };

  const send = async <Reply extends TSchema>(
    call: ApiCall<Reply>,
  ): Promise<Static<Reply>> => {
    let lastError: unknown = new AdministrationUnreachableError(
      "no address",
    );
    for (const address of addresses) {
      try {
        const { succeeded, replyBody } = await sendTo(address, call);
        if (succeeded) return Value.Parse(call.reply, replyBody);
        throw new AdministrationError(
          Value.Parse(AdministrationProblem, replyBody),
        );
      } catch (error) {
        if (!(error instanceof AdministrationUnreachableError)) throw error;
        lastError = error;
      }
    }
    throw lastError;
  };

  const read = <Reply extends TSchema>(path: string, reply: Reply) =>
    send({ method: "GET", path, reply });
  const post = <Reply extends TSchema>(
    path: string,
    reply: Reply,
    body?: object,
  ) => send({ method: "POST", path, reply, body });

  return {
    readStatus: () => read("/v1/status", StatusReply),
    readUpstreams: () => read("/v1/upstreams", UpstreamsReply),
    readRequests: () => read("/v1/requests", RequestsReply),
    readSheet: () => read("/v1/sheet", SheetReply),
    readHistory: () => read("/v1/sheet/history", HistoryReply),
    readRevisions: () => read("/v1/sheet/revisions", RevisionsReply),
    checkSheet: (document) => post("/v1/sheet/check", CheckReply, document),
    diffSheet: (document) => post("/v1/sheet/diff", DiffReply, document),
    applySheet: (body) =>
      send({ method: "PUT", path: "/v1/sheet", reply: ApplyReply, body }),
    readBurn: () => read("/v1/burn", BurnReport),
    drain: () => post("/v1/drain", DrainReply),
    drainUpstream: (name) => post("/v1/upstreams/drain", DrainReply, { name }),
  };
}
