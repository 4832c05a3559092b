import test from "ava";
import { readdir, readFile } from "node:fs/promises";
import { GATEWAY_EVENTS } from "../../src/gateway/gateway_events.ts";
import {
  explainRequest,
  parseLogLines,
} from "../../src/administration/tool_explain.ts";

const LOG_CALL = /\blog\.(?:info|warn)\(\s*"([^"]+)"/g;

test("every event that the gateway logs has a description, and no other has", async (t) => {
  const files = await Promise.all(
    ["src/gateway", "src/tunnels"].map(async (directory) => {
      const names = await readdir(directory);
      return names.map((name) => `${directory}/${name}`);
    }),
  );
  const sources = await Promise.all(
    [...files.flat(), "src/bin/gateway_program.ts"]
      .map((path) => readFile(path, "utf8")),
  );
  const logged = new Set(
    sources.flatMap((source) =>
      [...source.matchAll(LOG_CALL)].map(([, event]) => event!)
    ),
  );
  // The names of these events are built at run time.
  logged.add("configuration changed").add("upstream changed");
  t.deepEqual([...logged].sort(), Object.keys(GATEWAY_EVENTS).sort());
});

test("the operators' page describes every event", async (t) => {
  const page = await readFile("docs/operations/gateway.md", "utf8");
  for (const event of Object.keys(GATEWAY_EVENTS)) {
    t.true(page.includes(event), event);
  }
});

const LINES = [
  `  3.1 vm-1 {"time":"2026-12-04T10:00:01.000Z","vm":"vm-1",` +
  `"event":"upstream suspended","upstream":"e1"}`,
  `{"time":"2026-12-04T10:00:01.100Z","vm":"vm-1","event":"try ended",` +
  `"request":"r1","upstream":"e1","reason":"read ECONNRESET"}`,
  `{"time":"2026-12-04T10:00:01.300Z","vm":"vm-1","event":"request ended",` +
  `"request":"r1","upstream":"e2","took":400}`,
  `{"time":"2026-12-04T10:00:01.200Z","vm":"vm-2","event":"store lost"}`,
  `{"time":"2026-12-04T10:00:09.000Z","vm":"vm-1","event":"store lost"}`,
  `{"time":"2026-12-04T10:00:01.000Z","vm":"vm-1","event":"upstream changed",` +
  `"detail":"e9 is gone"}`,
  `not a log line`,
  `{"time": cut`,
].join("\n");

test("a request is explained by its log lines and the changes around them", (t) => {
  const lines = parseLogLines(LINES);
  t.is(lines.length, 6);
  t.deepEqual(
    explainRequest(lines, "r1").map(({ event }) => event),
    ["upstream suspended", "try ended", "request ended"],
  );
  t.deepEqual(explainRequest(lines, "r2"), []);
});
