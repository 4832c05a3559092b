import { createServer, type Socket } from "node:net";
import test from "ava";
import {
  isConnected,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import type { ScriptedUpstream } from "../../stand_ins/platform/scripted_upstream.ts";

/// An upstream whose process ends within a response without a length, and another
/// process that starts at its address.

const PARTITION_MILLISECONDS = 600;

test("a cut off response without a length isn't whole because another process has its upstream's address", async (t) => {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  const [network] = deployment.upstreamNetworks;
  const sockets = new Set<Socket>();
  const successor = createServer((socket) => void sockets.add(socket));
  t.teardown(() => {
    successor.close();
    for (const socket of sockets) socket.destroy();
  });
  const startSuccessor = ({ address }: ScriptedUpstream) => {
    const [host, port] = address.split(":");
    successor.listen(Number(port), host, () => network!.heal());
  };
  const upstream = await deployment.addUpstream("desk", "former", () => {
    network!.partition("hang", upstream.address);
    setTimeout(() => startSuccessor(upstream), PARTITION_MILLISECONDS);
    return { kind: "crash_unframed", body: "the first half" };
  });
  await until(() => isConnected(deployment, 1));
  const { status } = await deployment.send({ path: "/once/2f", body: "order" });
  t.not(status, 200);
});
