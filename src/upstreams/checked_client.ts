import type { Duplex } from "node:stream";
import { Client, DecoratorHandler, type Dispatcher } from "undici";
import { watchClose } from "../tunnels/socket_peer.ts";
import { isFramedResponse } from "./response_framing.ts";

/// An HTTP client that fails a response without a length unless its upstream
/// closed the connection after it: undici takes a reset for the same end.

type ParametersOf<Name extends keyof Dispatcher.DispatchHandler> = Parameters<
  NonNullable<Dispatcher.DispatchHandler[Name]>
>;

interface ResponseMethods {
  onResponseStart(...parameters: ParametersOf<"onResponseStart">): void;
  onResponseEnd(...parameters: ParametersOf<"onResponseEnd">): void;
  onResponseError(...parameters: ParametersOf<"onResponseError">): void;
}

/// undici's types lack the methods of its handler.
const BaseHandler = DecoratorHandler as unknown as new (
  handler: Dispatcher.DispatchHandler,
) => ResponseMethods;

class CheckedHandler extends BaseHandler {
  readonly #method: string;
  readonly #wasClosed: () => boolean;
  #isFramed = true;

  constructor(
    handler: Dispatcher.DispatchHandler,
    { method, wasClosed }: { method: string; wasClosed: () => boolean },
  ) {
    super(handler);
    this.#method = method;
    this.#wasClosed = wasClosed;
  }

  override onResponseStart(
    ...parameters: ParametersOf<"onResponseStart">
  ) {
    const [, status, headers] = parameters;
    this.#isFramed = isFramedResponse(this.#method, { status, headers });
    super.onResponseStart(...parameters);
  }

  override onResponseEnd(
    ...parameters: ParametersOf<"onResponseEnd">
  ) {
    if (this.#isFramed || this.#wasClosed()) {
      return super.onResponseEnd(...parameters);
    }
    const [controller] = parameters;
    const reason = "reset at the end of a response without a length";
    super.onResponseError(controller, new Error(reason));
  }
}

class CheckedClient extends Client {
  #wasClosed = () => false;

  constructor(origin: string, options: Client.Options) {
    const { connect } = options;
    if (typeof connect !== "function") throw new TypeError("no connector");
    super(origin, {
      ...options,
      connect: (connectOptions, callback) =>
        connect(connectOptions, (...result) => {
          const [error, socket] = result;
          if (!error) this.#wasClosed = watchClose(socket as Duplex);
          callback(...result);
        }),
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(
      options,
      new CheckedHandler(handler, {
        method: options.method,
        wasClosed: () => this.#wasClosed(),
      }),
    );
  }
}

/// Creates the clients of a pool whose connections a connector opens.
export function createCheckedClient(
  origin: URL,
  options: Client.Options,
): Client {
  return new CheckedClient(origin.origin, options);
}
