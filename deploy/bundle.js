import { execFileSync } from "node:child_process";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { build } from "esbuild";

/// Bundles the gateway into one file, with a code cache beside it. A process that
/// loads each module from a file of its own, and compiles it, takes several times
/// as long to start, and VMs start the program again after each failure.

const BUNDLE = "target/gateway_bundle.cjs";
const PROGRAM = "target/gateway.cjs";
const CACHE = "target/gateway_bundle.cache";

const { outputFiles } = await build({
  entryPoints: ["src/bin/gateway.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minifyWhitespace: true,
  minifySyntax: true,
  alias: { undici: "./deploy/undici_parts.js" },
  define: { "import.meta": "bundleMeta" },
  banner: {
    js: 'const bundleMeta={url:require("node:url").pathToFileURL(' +
      "__filename).href};",
  },
  logLevel: "warning",
  write: false,
});
mkdirSync("target", { recursive: true });
// V8 accepts the cache of any earlier bundle that has the same length.
rmSync(CACHE, { force: true });
// The program below wraps the bundle in a function.
writeFileSync(BUNDLE, outputFiles[0].text.replace(/^#!.*\n/, ""));

/// Compiles the bundle from the code cache if V8 accepts it, which depends on its
/// version and flags. With CODE_CACHE=write, the cache is written at the end.
writeFileSync(
  PROGRAM,
  `"use strict";
const fs = require("node:fs");
const vm = require("node:vm");
const bundle = __dirname + "/gateway_bundle.cjs";
const cache = __dirname + "/gateway_bundle.cache";
const cachedData = fs.existsSync(cache) ? fs.readFileSync(cache) : undefined;
const source = "(function(require,module,exports,__filename,__dirname){" +
  fs.readFileSync(bundle, "latin1") + "\\n})";
const script = new vm.Script(source, { filename: bundle, cachedData });
if (process.env.CODE_CACHE === "write") {
  process.on("exit", () => fs.writeFileSync(cache, script.createCachedData()));
}
script.runInThisContext()(require, module, exports, __filename, __dirname);
`,
);

// The cache contains the functions that this run compiles.
execFileSync(
  process.execPath,
  [
    "--max-old-space-size=160",
    PROGRAM,
    "--check",
    "--settings",
    "deploy/sample_settings.json",
  ],
  { env: { ...process.env, CODE_CACHE: "write" }, stdio: "inherit" },
);
