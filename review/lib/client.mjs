// A requester: sends one request on a channel of its own and reports how the
// answer ended.

import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { API_KEY, HOST } from "./deployment.mjs";

const END_OF_HEAD = "\r\n\r\n";

/** Decodes chunks; `isComplete` tells whether the last one has arrived. */
function decodeChunks(text) {
  let body = "";
  let at = 0;
  while (true) {
    const end = text.indexOf("\r\n", at);
    if (end < 0) return { body, isComplete: false };
    const size = parseInt(text.slice(at, end), 16);
    if (size === 0) {
      return { body, isComplete: text.startsWith("\r\n", end + 2) };
    }
    body += text.slice(end + 2, end + 2 + size);
    at = end + 2 + size + 2;
  }
}

/**
 * Parses what has arrived. `framing` is `length`, `chunks`, or `none` for an
 * answer that ends with its channel.
 */
function parseAnswer(text) {
  const endOfHead = text.indexOf(END_OF_HEAD);
  if (endOfHead < 0) return undefined;
  const head = text.slice(0, endOfHead);
  const rest = text.slice(endOfHead + END_OF_HEAD.length);
  const status = Number(head.split(" ")[1]);
  const isSigned = /^x-response-signature:/im.test(head);
  if (/^transfer-encoding: chunked/im.test(head)) {
    return { status, isSigned, framing: "chunks", ...decodeChunks(rest) };
  }
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  if (length === undefined) {
    return { status, isSigned, framing: "none", body: rest, isComplete: false };
  }
  const isComplete = rest.length >= Number(length);
  return { status, isSigned, framing: "length", body: rest, isComplete };
}

/**
 * Sends a request. Resolves to the answer; `status` is undefined if there was
 * none. An answer without a length is complete if its channel was closed, and
 * not if it was reset.
 */
export function sendRequest(gateway, { method, path, attempt, fields, body }) {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `X-Attempt-Id: ${attempt}`,
    `Authorization: Token ${API_KEY}`,
    ...Object.entries(fields).map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return new Promise((done) => {
    let text = "";
    // The socket stays open at the end, so that it can be asked for its peer.
    const socket = connect({
      host: gateway.ip,
      port: gateway.frontPort,
      allowHalfOpen: true,
    });
    const end = (how) => {
      const answer = parseAnswer(text) ?? { body: "", isComplete: false };
      socket.destroy();
      done({
        ...answer,
        how,
        isComplete: answer.isComplete ||
          (answer.framing === "none" && how === "closed"),
      });
    };
    socket.setEncoding("latin1");
    socket.on("data", (chunk) => {
      text += chunk;
      if (parseAnswer(text)?.isComplete) end("answered");
    });
    // Node.js reports an end also where data and a reset arrive together. Only
    // a socket that was closed still has a peer.
    socket.on("end", () => end(socket.remoteAddress ? "closed" : "reset"));
    socket.on("error", ({ code }) => end(code));
    socket.write(lines.join("\r\n") + END_OF_HEAD + body);
  });
}

/** The ids of the complete events of a stream. */
export function eventIds(body) {
  const events = body.split("\n\n").slice(0, -1);
  return events.map((event) => Number(/^id: (\d+)$/m.exec(event)?.[1]));
}
