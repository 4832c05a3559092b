import test from "ava";
import {
  isProven,
  type LinkEnd,
  negotiateVersion,
  proveLink,
} from "../../src/links/handshake.ts";

const end = (vm: string, role: LinkEnd["role"], nonce: string): LinkEnd => ({
  identity: { vm, incarnation: "1", dataCentre: "seeb" },
  nonce,
  versions: { oldest: 1, newest: 2 },
  role,
});
const A = end("a", "dialler", "n1");
const B = end("b", "acceptor", "n2");
const OLD = "old-secret-old-secret";
const NEW = "new-secret-new-secret";

const SECRETS = [
  { name: "the same secret", given: [NEW], held: [NEW], proven: true },
  { name: "old beside new", given: [NEW, OLD], held: [OLD], proven: true },
  { name: "new beside old", given: [NEW], held: [OLD, NEW], proven: true },
  { name: "a wrong secret", given: ["other"], held: [OLD, NEW], proven: false },
  { name: "no secret", given: [], held: [OLD], proven: false },
];

for (const { name, given, held, proven } of SECRETS) {
  test(`${name} is ${proven ? "accepted" : "refused"}`, (t) => {
    const ends = { sender: A, receiver: B };
    t.is(isProven(proveLink(given, ends), proveLink(held, ends)), proven);
  });
}

const VERSIONS = { oldest: 1, newest: 1 };
const MISUSES: readonly [string, { sender: LinkEnd; receiver: LinkEnd }][] = [
  ["replayed to a new challenge", {
    sender: A,
    receiver: { ...B, nonce: "n3" },
  }],
  ["reflected to its sender", { sender: B, receiver: A }],
  ["used in the other role", {
    sender: { ...A, role: "acceptor" },
    receiver: { ...B, role: "dialler" },
  }],
  ["used for another VM", {
    sender: { ...A, identity: { ...A.identity, vm: "c" } },
    receiver: B,
  }],
  ["used after a version was changed on the way", {
    sender: { ...A, versions: VERSIONS },
    receiver: B,
  }],
];

for (const [name, ends] of MISUSES) {
  test(`a proof ${name} is refused`, (t) => {
    const recorded = proveLink([NEW], { sender: A, receiver: B });
    t.false(isProven(recorded, proveLink([NEW], ends)));
  });
}

const RANGES = [
  { own: [1, 1], other: [1, 1], version: 1 },
  { own: [1, 2], other: [1, 1], version: 1 },
  { own: [1, 2], other: [2, 3], version: 2 },
  { own: [1, 1], other: [2, 3], version: undefined },
] as const;

for (const { own, other, version } of RANGES) {
  test(`versions ${own} and ${other} speak ${version ?? "nothing"}`, (t) => {
    const range = ([oldest, newest]: readonly [number, number]) => ({
      oldest,
      newest,
    });
    t.is(negotiateVersion(range(own), range(other)), version);
    t.is(negotiateVersion(range(other), range(own)), version);
  });
}
