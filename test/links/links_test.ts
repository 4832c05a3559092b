import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Type } from "@sinclair/typebox";
import test from "ava";
import { createLinkMesh } from "../../src/links/link_mesh.ts";
import {
  type Links,
  LinkUnansweredError,
  LinkUnreachableError,
} from "../../src/links/links.ts";
import { defineCall, defineMessage } from "../../src/links/message.ts";
import type { ListedVm } from "../../src/platform/vm_list.ts";
import { createSystemClock } from "../../src/support/clock.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createSystemRandom } from "../../src/support/random.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";

const Greeting = defineMessage("test.greeting", Type.String());
const Double = defineCall("test.double", {
  request: Type.Number(),
  reply: Type.Number(),
});

const identityOf = (vm: string) => ({
  vm,
  incarnation: `${vm}-1`,
  dataCentre: "muttrah",
});

async function startMesh(secrets: Readonly<Record<string, string>>) {
  const listed: ListedVm[] = [];
  const meshes = await Promise.all(
    Object.entries(secrets).map(async ([vm, secret]) => {
      const server = createServer();
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", resolve)
      );
      const { port } = server.address() as AddressInfo;
      const linkAddress = `127.0.0.1:${port}`;
      listed.push({
        name: vm,
        dataCentre: "muttrah",
        linkAddress,
        state: "live",
      });
      const mesh = createLinkMesh({
        clock: createSystemClock(),
        random: createSystemRandom(),
        log: createSilentLogger(),
        identity: identityOf(vm),
        secrets: [secret],
        vmList: { read: () => Promise.resolve(listed) },
        server,
      });
      return { mesh, server };
    }),
  );
  const close = () => {
    for (const { mesh, server } of meshes) {
      mesh.close();
      server.close();
    }
  };
  return { links: meshes.map(({ mesh }) => mesh), close };
}

const untilPeers = (links: Links, count: number) =>
  new Promise<void>((resolve) => {
    const check = () => links.peers().length === count && resolve();
    links.onPeersChange(check);
    check();
  });

test("messages and calls cross a real connection", async (t) => {
  const { links, close } = await startMesh({ a: "secret", b: "secret" });
  const [first, second] = links;
  await Promise.all([untilPeers(first!, 1), untilPeers(second!, 1)]);
  const heard = new Promise<string>((resolve) =>
    second!.onMessage(Greeting, (text, from) => resolve(`${from.vm} ${text}`))
  );
  t.true(first!.send("b", Greeting, "hello"));
  t.is(await heard, "a hello");
  second!.onCall(Double, (value) => Promise.resolve(value * 2));
  t.is(await first!.call("b", Double, 21), 42);
  await t.throwsAsync(first!.call("c", Double, 1), {
    instanceOf: LinkUnreachableError,
  });
  close();
});

test("local links lose what is cut on its way", async (t) => {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock);
  const first = network.join(identityOf("a"));
  const second = network.join(identityOf("b"));
  second.onCall(Double, (value) => Promise.resolve(value * 2));
  t.is(await clock.advanceUntil(first.call("b", Double, 21)), 42);
  const lost = first.call("b", Double, 1);
  lost.catch(() => {});
  network.setCut("b", "a", true);
  await t.throwsAsync(clock.advanceUntil(lost), {
    instanceOf: LinkUnansweredError,
  });
  t.deepEqual(first.peers(), []);
});
