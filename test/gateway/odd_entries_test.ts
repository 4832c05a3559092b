import { randomBytes } from "node:crypto";
import test from "ava";
import { createStoreClient } from "../../platform/store_client.ts";
import { createStoreReplica } from "../../src/gateway/store_replica.ts";
import { packReply } from "../../src/gateway/view_messages.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createVmDirectory } from "../../src/gateway/vm_directory.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import {
  type CallerRequest,
  startPlatformDeployment,
  until,
} from "../../stand_ins/platform/platform_deployment.ts";
import { createPlatformStore } from "../../stand_ins/platform/platform_store.ts";
import { createReplicaView } from "../../stand_ins/replica_view.ts";

/// An entry of the store that names no usable upstream affects nothing else, and
/// a later valid one under its key is used.

const ENTRY = {
  Service: "desk",
  Address: "127.0.0.1:9",
  Zone: "north",
  Version: "1.2",
  Slots: 4,
  State: "ready",
  ColdRemainingMs: 0,
  Seq: 1,
  born: 1_700_000_000_000,
};
const encode = (value: object) => Buffer.from(JSON.stringify(value));
/// The entry with the JSON text `text` as the value of a field.
const withText = (field: string, text: string) =>
  Buffer.from(JSON.stringify({ ...ENTRY, [field]: "@" }).replace('"@"', text));
const nested = (depth: number) => "[".repeat(depth) + "]".repeat(depth);

const ODD_ADDRESSES = [
  "127.0.0.1:0",
  "127.0.0.1:65536",
  "127.0.0.1:99999",
  "999.1.1.1:80",
  "256.0.0.1:80",
  "127.0.0.1.5:80",
  "127.1:80",
  "...:80",
];

const ODD_TEXTS: readonly (readonly [string, readonly string[]])[] = [
  ["Service", ["null", "7", '["desk"]']],
  ["Zone", ["null", "{}", nested(100_000)]],
  ["State", ['"standby"', "null", "true", nested(100_000)]],
  ["Slots", ["0", "-1", "0.5", "1e308", "1e400", "9223372036854775808"]],
  ["Slots", ['"4"', "null", nested(100_000), "9".repeat(100_000)]],
  ["born", ["0.5", "-1", "1e308", "1e400", '"1"', "9223372036854775808"]],
  ["Seq", ["0.5", "-1", "1e308", "1e400", '"1"', "9223372036854775808"]],
];

const ODD_VALUES: readonly (readonly [string, Uint8Array])[] = [
  ...ODD_ADDRESSES.map((address) =>
    [`the address ${address}`, encode({ ...ENTRY, Address: address })] as const
  ),
  ...ODD_TEXTS.flatMap(([field, texts]) =>
    texts.map((text) =>
      [`${field} ${text.slice(0, 20)}`, withText(field, text)] as const
    )
  ),
  ["bytes that are no JSON", Buffer.from([0xff, 0xfe, 0x00, 0x7b])],
  ["nothing but nested lists", Buffer.from(nested(500_000))],
];

function createView() {
  const { view, put, remove } = createReplicaView();
  return {
    recordStoreReconnected: view.recordStoreReconnected,
    put: (id: string, value: Uint8Array) => put(`servers/${id}`, value),
    remove: (id: string) => remove(`servers/${id}`),
    ids: () => view.upstreams().map(({ id }) => id),
  };
}

for (const [title, value] of ODD_VALUES) {
  test(`an entry with ${title} names no upstream until a valid one follows`, (t) => {
    const { put, ids } = createView();
    put("e1", encode(ENTRY));
    put("e2", encode(ENTRY));
    put("e2", value);
    t.deepEqual(ids(), ["e1"]);
    put("e2", encode({ ...ENTRY, Seq: 2 }));
    t.deepEqual(ids(), ["e1", "e2"]);
  });
}

const ODD_IDS = ["", "a\nb", "a\r\nX-Tenant: b", "a b", "\u0000", "\u00e9"];

for (const id of ODD_IDS) {
  test(`an entry with the id ${JSON.stringify(id)}, which is no header value, names no upstream`, (t) => {
    const { put, ids } = createView();
    put("e1", encode(ENTRY));
    put(id, encode(ENTRY));
    t.deepEqual(ids(), ["e1"]);
  });
}

for (const id of ["__proto__", "constructor", "a/b", "i-7f3a91c2"]) {
  test(`an entry with the id ${id} is used and removed like any other`, (t) => {
    const { put, ids } = createView();
    put(id, encode(ENTRY));
    t.deepEqual(ids(), [id]);
    put(id, encode({ ...ENTRY, Slots: 0 }));
    t.deepEqual(ids(), []);
  });
}

test("an upstream whose entry was overwritten for a while is used again", (t) => {
  const { put, ids } = createView();
  put("e1", encode(ENTRY));
  put("e1", Buffer.from("["));
  t.deepEqual(ids(), []);
  put("e1", encode(ENTRY));
  t.deepEqual(ids(), ["e1"]);
});

test("an upstream that left while its entry was overwritten isn't used again", (t) => {
  const { put, remove, ids } = createView();
  put("e1", encode(ENTRY));
  put("e1", Buffer.from("["));
  remove("e1");
  put("e1", encode(ENTRY));
  t.deepEqual(ids(), []);
  put("e1", encode({ ...ENTRY, Seq: 2 }));
  t.deepEqual(ids(), ["e1"]);
});

test("an overwritten entry names no upstream while others list themselves again", (t) => {
  const { recordStoreReconnected, put, ids } = createView();
  put("e1", encode(ENTRY));
  recordStoreReconnected();
  put("e1", encode({ ...ENTRY, State: "standby" }));
  t.deepEqual(ids(), []);
});

const REQUESTS: readonly CallerRequest[] = [
  { path: "/look/2f", method: "GET" },
  { path: "/once/2f", body: "an order" },
  {
    path: "/ask/2f",
    headers: { "X-Token-Counts": "1460,80" },
    body: "a prompt",
  },
];

test("no caller loses its connection to an entry with an odd address", async (t) => {
  const deployment = await startPlatformDeployment();
  t.teardown(deployment.close);
  const { store } = deployment;
  const act = () => ({ kind: "answer", body: "done" }) as const;
  await deployment.addUpstream("engines", "u1", act);
  for (const Service of ["desk", "engines"]) {
    for (const Address of ODD_ADDRESSES) {
      store.put(`servers/odd ${Address}`, { ...ENTRY, Service, Address });
    }
  }
  const last = await deployment.addUpstream("desk", "u2", act);
  await until(async () => {
    await deployment.send(REQUESTS[0]!);
    return last.requests.length > 0;
  });
  const statuses: (number | undefined)[] = [];
  for (let round = 0; round < 10; round++) {
    for (const request of REQUESTS) {
      statuses.push((await deployment.send(request)).status);
    }
  }
  t.deepEqual(statuses.filter((status) => status !== 200), []);
});

const VM_ENTRY = { dataCentre: "north", linkAddress: "127.0.0.1:9" };
const ODD_VM_ENTRIES: readonly (readonly [string, object])[] = [
  ["another name", { ...VM_ENTRY, name: "vm-2" }],
  ["a state", { ...VM_ENTRY, state: "leaving", kind: "upstream" }],
  ["the port 65536", { ...VM_ENTRY, linkAddress: "127.0.0.1:65536" }],
  ["a negative capacity", { ...VM_ENTRY, capacity: -1 }],
  ["the capacity 1e308", { ...VM_ENTRY, capacity: 1e308 }],
  ["a capacity in words", { ...VM_ENTRY, capacity: "2" }],
];

for (const [title, entry] of ODD_VM_ENTRIES) {
  test(`a VM that is listed with ${title} stays listed as before`, async (t) => {
    const vms = createVmDirectory(createFakeClock(), createSilentLogger());
    const key = "sequoiaturn/vms/vm-1";
    vms.applyEntry(key, encode(VM_ENTRY));
    const before = await vms.read();
    vms.applyEntry(key, encode(entry));
    t.deepEqual(await vms.read(), before);
  });
}

test("an entry of a megabyte isn't sent from VM to VM, and a large configuration is", async (t) => {
  const store = createPlatformStore();
  const client = createStoreClient((await store.openEndpoint()).address);
  t.teardown(() => {
    client.close();
    store.close();
  });
  store.put("servers/e1", randomBytes(1_048_576));
  const sizeOfReply = async () => {
    const replica = createStoreReplica();
    replica.replaceContents(await client.range(""), "store");
    return packReply(replica.changesSince(0), 0).body.length;
  };
  const withoutConfiguration = await sizeOfReply();
  t.true(withoutConfiguration < 1_000, `${withoutConfiguration} bytes`);
  store.put("op/config", randomBytes(150_000));
  const withConfiguration = await sizeOfReply();
  t.true(withConfiguration > 150_000, `${withConfiguration} bytes`);
});
