import { createHash } from "node:crypto";
import { formatTable } from "./text_table.ts";
import {
  printResult,
  type ToolCommand,
  ToolUsageError,
} from "./tool_command.ts";

/// The tool's commands for VMs, upstreams, requests and keys.

const KEY_SECRET_BYTES = 24;

export const showStatus: ToolCommand = async (context) =>
  printResult(context, await context.client.readStatus(), (status) => {
    const { vm, ready, sheetRevision, peers, engines } = status;
    const usable = engines.filter((engine) => engine.usable).length;
    const rows = [
      [
        `${vm.vm} (asked)`,
        vm.dataCentre,
        "live",
        vm.incarnation,
        sheetRevision,
      ],
      ...peers.map((peer) => [
        peer.vm,
        peer.dataCentre,
        peer.reachable ? peer.state : "unreachable",
        peer.incarnation,
        peer.sheetRevision,
      ]),
    ];
    const columns = ["vm", "data centre", "state", "incarnation", "revision"];
    return [
      formatTable(columns, rows),
      `ready: ${ready ? "yes" : "no"}; running requests: ` +
      `${status.runningRequests}; usable engines: ${usable} of ` +
      `${engines.length}`,
    ].join("\n");
  });

export const showUpstreams: ToolCommand = async (context) =>
  printResult(
    context,
    await context.client.readUpstreams(),
    ({ upstreams }) =>
      formatTable(
        [
          "name",
          "kind",
          "serves",
          "data centre",
          "address",
          "usable",
          "running",
        ],
        upstreams.map((upstream) => [
          upstream.name,
          upstream.kind,
          upstream.serves,
          upstream.dataCentre,
          upstream.address,
          upstream.usable,
          upstream.outstandingRequests,
        ]),
      ),
  );

export const showRequests: ToolCommand = async (context) =>
  printResult(
    context,
    await context.client.readRequests(),
    ({ running, ended }) =>
      [
        formatTable(
          ["id", "customer", "target", "tokens", "state", "upstream", "age ms"],
          running.map((request) => [
            request.id,
            request.customer,
            request.target,
            request.promptTokens,
            request.state,
            request.upstream,
            Math.round(request.ageMilliseconds),
          ]),
        ),
        "",
        formatTable(["ended", "requests"], Object.entries(ended)),
      ].join("\n"),
  );

/// Drains the named upstream, or the daemon if none is named.
export const drain: ToolCommand = async (context) => {
  const [upstream] = context.operands;
  const reply = upstream === undefined
    ? await context.client.drain()
    : await context.client.drainUpstream(upstream);
  return printResult(context, reply, () => "draining");
};

/// Creates a customer's key locally; no daemon is needed. Only the key's hash
/// is ever stored.
export const createKey: ToolCommand = (context) => {
  const [customer] = context.operands;
  if (customer === undefined) throw new ToolUsageError("expected a customer");
  const key = `${customer}.${context.randomHex(KEY_SECRET_BYTES)}`;
  const keyHash = createHash("sha256").update(key).digest("hex");
  return Promise.resolve(
    printResult(context, { customer, key, keyHash }, () =>
      [
        `key (shown once): ${key}`,
        `for column keyHashes of ${customer}: ${keyHash}`,
      ].join("\n")),
  );
};
