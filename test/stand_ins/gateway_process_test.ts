import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import test from "ava";
import { until } from "../../stand_ins/platform/platform_deployment.ts";

const MODULE = new URL(
  "../../stand_ins/soak/gateway_process.js",
  import.meta.url,
);

function isRunning(processId: number): boolean {
  try {
    return process.kill(processId, 0);
  } catch {
    return false;
  }
}

test("a gateway's process doesn't outlive a test run that is killed", async (t) => {
  const folder = mkdtempSync(`${tmpdir()}/outlived-`);
  t.teardown(() => rmSync(folder, { recursive: true }));
  const options = { storeAddress: "127.0.0.1:1", folder };
  const code = `
    const { createGatewayProcess } = await import("${MODULE.href}");
    const gateway = await createGatewayProcess("outlived", ${
    JSON.stringify(options)
  });
    await gateway.start();
    console.log(gateway.processId());`;
  const run = spawn(
    process.execPath,
    ["--input-type=module", "--eval", code],
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  t.teardown(() => run.kill("SIGKILL"));
  const [line] = await once(run.stdout, "data") as [Buffer];
  const processId = Number(line);
  t.true(isRunning(processId));
  run.kill("SIGKILL");
  await until(() => !isRunning(processId));
  t.false(isRunning(processId));
});
