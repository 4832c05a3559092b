import { Agent } from "undici";

/// HTTP client for a daemon, or for an engine directly.

export interface CompletionOptions {
  readonly model: string;
  readonly prompt: string;
  readonly maximumTokens: number;
  /// Additional members of the body.
  readonly extra?: Readonly<Record<string, unknown>>;
  readonly headers?: Readonly<Record<string, string>>;
  readonly onFirstToken?: () => void;
}

export interface ServiceCallOptions {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/// Response to a caller: a result or a problem document.
export interface CallerResult {
  readonly status: number;
  /// Generated text of a completion, or body of a service response.
  readonly text: string;
  /// Whether the response was complete. A stream is complete if it reached its
  /// end marker and the connection did not break; a service call if its status
  /// is below 300.
  readonly complete: boolean;
  readonly firstTokenMilliseconds: number;
  readonly totalMilliseconds: number;
  readonly problem?: { readonly code: string; readonly executed: string };
}

export interface Caller {
  complete(options: CompletionOptions): Promise<CallerResult>;
  callService(options: ServiceCallOptions): Promise<CallerResult>;
  close(): Promise<void>;
}

interface AnswerEvent {
  readonly choices?: readonly { readonly text: string }[];
}

/// Creates a caller that sends to `address` (`host:port`) with an API key.
export function createCaller(address: string, key: string): Caller {
  const agent = new Agent({ connections: 1_024, headersTimeout: 0 });
  const origin = `http://${address}`;
  const authorization = `Bearer ${key}`;

  const readProblem = (text: string) => {
    try {
      return JSON.parse(text) as { code: string; executed: string };
    } catch {
      return undefined;
    }
  };

  return {
    async complete(options) {
      const { model, prompt, maximumTokens, extra, headers } = options;
      const { onFirstToken } = options;
      const started = performance.now();
      const response = await agent.request({
        origin,
        path: "/v1/completions",
        method: "POST",
        headers: {
          authorization,
          "content-type": "application/json",
          ...headers,
        },
        body: JSON.stringify({
          model,
          prompt,
          max_tokens: maximumTokens,
          stream: true,
          ...extra,
        }),
      });
      const status = response.statusCode;
      let firstToken = NaN;
      let rest = "";
      let text = "";
      let complete = false;
      const readLine = (line: string) => {
        if (line === "data: [DONE]") complete = true;
        if (!line.startsWith("data: {") || status !== 200) return;
        const event = JSON.parse(line.slice(6)) as AnswerEvent;
        const piece = event.choices?.[0]?.text ?? "";
        if (text === "" && piece !== "") {
          firstToken = performance.now() - started;
          onFirstToken?.();
        }
        text += piece;
      };
      try {
        for await (const part of response.body) {
          const lines = (rest + part).split("\n");
          rest = lines.pop() ?? "";
          lines.forEach(readLine);
        }
      } catch {
        complete = false;
      }
      return {
        status,
        text,
        complete,
        firstTokenMilliseconds: firstToken,
        totalMilliseconds: performance.now() - started,
        problem: status === 200 ? undefined : readProblem(rest),
      };
    },
    async callService({ method, path, headers, body }) {
      const started = performance.now();
      const response = await agent.request({
        origin,
        path: `/v1/services/${path}`,
        method,
        headers: { authorization, ...headers },
        body,
      });
      const text = await response.body.text();
      const totalMilliseconds = performance.now() - started;
      const status = response.statusCode;
      return {
        status,
        text,
        complete: status < 300,
        firstTokenMilliseconds: totalMilliseconds,
        totalMilliseconds,
        problem: status < 300 ? undefined : readProblem(text),
      };
    },
    close: () => agent.destroy(),
  };
}
