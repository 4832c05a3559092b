import { readFileSync } from "node:fs";
import { Socket, type TcpNetConnectOpts } from "node:net";
import { dirname } from "node:path";
import { type GatewayPaths, PATHS_FILE } from "./path_settings.ts";

/// Loaded into a gateway process before its program. Gives the connections of
/// each gateway an IP address of its own and sends those to certain addresses
/// through proxies, so that faults can affect the paths of one gateway.

const settingsFile = process.argv[process.argv.indexOf("--settings") + 1]!;
const { vm } = JSON.parse(readFileSync(settingsFile, "utf8")) as { vm: string };
const { sources, ports } = JSON.parse(
  readFileSync(`${dirname(settingsFile)}/${PATHS_FILE}`, "utf8"),
) as GatewayPaths;

const connect = Socket.prototype.connect as (...words: unknown[]) => Socket;
Socket.prototype.connect = function (this: Socket, ...words: unknown[]) {
  // Node.js passes the options alone or as the first of an array.
  const options = (Array.isArray(words[0]) ? words[0][0] : words[0]) as
    | TcpNetConnectOpts
    | undefined;
  if (options?.port !== undefined) {
    options.localAddress = sources[vm];
    options.port = ports[options.port] ?? options.port;
  }
  return connect.apply(this, words);
} as typeof Socket.prototype.connect;
