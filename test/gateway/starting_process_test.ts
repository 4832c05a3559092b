import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import test from "ava";
import { startPlatformDeployment } from "../../stand_ins/platform/platform_deployment.ts";
import { createGatewayProcess } from "../../stand_ins/soak/gateway_process.ts";

/// Node.js options that send the process a signal when it loads a module.
function signalAtModule(name: string, signal: NodeJS.Signals): string[] {
  const hooks = `export const load = (url, context, next) => {
    if (url.endsWith("/${name}.js")) process.kill(process.pid, "${signal}");
    return next(url, context);
  };`;
  const dataUrl = (code: string) =>
    `data:text/javascript,${encodeURIComponent(code)}`;
  const register = `import { register } from "node:module";
    register(${JSON.stringify(dataUrl(hooks))});`;
  return ["--import", dataUrl(register)];
}

for (const name of ["gateway_program", "gateway/gateway", "clock"]) {
  test(`a signal to read the settings while ${name} is loaded doesn't end the process`, async (t) => {
    const folder = mkdtempSync(`${tmpdir()}/starting-`);
    t.teardown(() => rmSync(folder, { recursive: true }));
    const deployment = await startPlatformDeployment();
    t.teardown(deployment.close);
    const gateway = await createGatewayProcess("starting", {
      storeAddress: deployment.storeEndpoints[0]!.address,
      folder,
      nodeOptions: signalAtModule(name, "SIGHUP"),
    });
    t.teardown(() => gateway.signal("SIGKILL"));
    await gateway.start();
    t.true(gateway.isRunning());
  });
}
