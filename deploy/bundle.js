import { build } from "esbuild";

/// Bundles the gateway into one file. A process that loads each module from a
/// file of its own takes about three times as long to start, and VMs start the
/// program again after each failure.

await build({
  entryPoints: ["src/bin/gateway.ts"],
  outfile: "target/gateway.js",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  alias: { undici: "./deploy/undici_parts.js" },
  sourcemap: "linked",
  // Libraries in CommonJS format load the modules of Node.js with `require`.
  banner: {
    js: 'import { createRequire as createModuleRequire } from "node:module";' +
      "const require = createModuleRequire(import.meta.url);",
  },
  logLevel: "warning",
});
