import { execFileSync } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import test from "ava";

const BUNDLE_SCRIPT = resolve("deploy/bundle.js");
/// The cache is only used with the options with which it was written.
const HEAP = "--max-old-space-size=160";

test("a bundle isn't run from the code cache of an earlier one with the same length", (t) => {
  const cwd = mkdtempSync(join(tmpdir(), "bundle-"));
  t.teardown(() => rmSync(cwd, { recursive: true }));
  mkdirSync(join(cwd, "src/bin"), { recursive: true });
  mkdirSync(join(cwd, "deploy"));
  writeFileSync(join(cwd, "deploy/undici_parts.js"), "");
  const run = (...options: readonly string[]) =>
    execFileSync(process.execPath, options, {
      cwd,
      encoding: "utf8",
      stdio: ["ignore", "pipe", "inherit"],
    });
  for (const word of ["one", "two"]) {
    writeFileSync(
      join(cwd, "src/bin/gateway.ts"),
      `function print() { console.log("${word}"); }\nprint();\n`,
    );
    run(BUNDLE_SCRIPT);
    t.is(run(HEAP, "target/gateway.cjs"), `${word}\n`);
  }
});
