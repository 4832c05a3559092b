import test from "ava";
import { toJsonBody } from "../../src/upstreams/json_body.ts";

const CASES: readonly [string, string][] = [
  ["a short prompt", "hello"],
  ["a long prompt", "word ".repeat(50_000)],
  ["quotes and line ends", '"\\\n'.repeat(40_000)],
  ["surrogate pairs across chunks", "x" + "\u{1F600}".repeat(70_000)],
];

for (const [name, prompt] of CASES) {
  test(`a body with ${name} is parsed to the same value`, async (t) => {
    const body = { model: "text", stream: true, prompt };
    const written = toJsonBody(body);
    let text = "";
    if (typeof written === "string") text = written;
    else for await (const chunk of written) text += chunk;
    t.deepEqual(JSON.parse(text), body);
  });
}
