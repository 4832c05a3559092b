import { request } from "undici";
import type { AcceptedSheet } from "../contracts/sheet.ts";
import type { SheetProposal } from "../contracts/sheet_store.ts";

/// A client of a daemon's administration API.

/// The daemon answered with an error.
export class AdministrationError extends Error {
  override readonly name = "AdministrationError";
  readonly status: number;
  readonly code: string;
  constructor(status: number, code: string, message: string) {
    super(message);
    this.status = status;
    this.code = code;
  }
}

export interface AdministrationClient {
  readStatus(): Promise<unknown>;
  readRequests(): Promise<unknown>;
  readSheet(): Promise<AcceptedSheet>;
  applySheet(proposal: SheetProposal): Promise<{ revision: number }>;
  drain(): Promise<unknown>;
}

const TIMEOUT_MILLISECONDS = 10_000;

/// A client of the daemon at `address` (`host:port`). Its calls throw
/// `AdministrationError`.
export function createAdministrationClient(
  { address, token }: { address: string; token: string },
): AdministrationClient {
  const call = async (
    method: "GET" | "PUT" | "POST",
    path: string,
    body?: object,
  ): Promise<unknown> => {
    const response = await request(`http://${address}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${token}`,
        ...(body && { "content-type": "application/json" }),
      },
      body: body && JSON.stringify(body),
      signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
    });
    const answer = await response.body.json() as {
      code?: string;
      message?: string;
    };
    if (response.statusCode < 300) return answer;
    throw new AdministrationError(
      response.statusCode,
      answer.code ?? "failed",
      String(answer.message),
    );
  };

  return {
    readStatus: () => call("GET", "/v1/status"),
    readRequests: () => call("GET", "/v1/requests"),
    readSheet: () => call("GET", "/v1/sheet") as Promise<AcceptedSheet>,
    applySheet: (proposal) =>
      call("PUT", "/v1/sheet", proposal) as Promise<{ revision: number }>,
    drain: () => call("POST", "/v1/drain"),
  };
}
