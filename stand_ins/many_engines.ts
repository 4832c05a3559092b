import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { Upstream } from "../src/contracts/sheet.ts";
import type { StandInServer } from "./stand_in_server.ts";

/// Load reports of many engines that do nothing else. One server stands for
/// all of them, each on a loopback address of its own.

export interface ManyEngines extends StandInServer {
  readonly upstreams: readonly Upstream[];
  /// Load reports read so far.
  loadReportCount(): number;
}

const ADDRESSES_PER_BLOCK = 250;

function addressOf(index: number, port: number): string {
  const block = 1 + Math.floor(index / ADDRESSES_PER_BLOCK);
  return `127.0.${block}.${1 + index % ADDRESSES_PER_BLOCK}:${port}`;
}

export async function startManyEngines(
  count: number,
  dataCentres: readonly string[],
): Promise<ManyEngines> {
  let reads = 0;
  const server = createServer((request, response) => {
    const isLoad = request.url?.startsWith("/v1/load");
    if (isLoad) reads++;
    const report = {
      age: 100,
      queuedTokens: 1_000 + reads % 1_000,
      runningStreams: reads % 50,
      freeTokens: 300_000 - reads % 1_000,
      memoryTokens: 400_000,
      prefillTokensPerSecond: 14_000,
      decodeMilliseconds: 0.1,
      model: "text",
      version: "1",
    };
    const body = JSON.stringify(isLoad ? report : []);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(body);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => server.listen(0, "0.0.0.0", resolve));
  const { port } = server.address() as AddressInfo;
  const upstreams = Array.from({ length: count }, (_, index): Upstream => ({
    name: `engine-${index + 1}`,
    kind: "engine",
    serves: "text",
    dataCentre: dataCentres[index % dataCentres.length]!,
    address: addressOf(index, port),
    checksFencing: true,
  }));
  return {
    address: `127.0.0.1:${port}`,
    upstreams,
    loadReportCount: () => reads,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
