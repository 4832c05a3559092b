import test from "ava";
import {
  isProven,
  type LinkEndpoint,
  negotiateVersion,
  proveLink,
} from "../../src/links/handshake.ts";

const endpoint = (
  vm: string,
  role: LinkEndpoint["role"],
  nonce: string,
): LinkEndpoint => ({
  identity: { vm, incarnation: "1", dataCentre: "seeb" },
  nonce,
  versions: { oldest: 1, newest: 2 },
  role,
});
const A = endpoint("a", "dialler", "n1");
const B = endpoint("b", "acceptor", "n2");
const OLD = "old-secret-old-secret";
const NEW = "new-secret-new-secret";

const SECRETS = [
  { name: "the same secret", presented: [NEW], accepted: [NEW], proven: true },
  {
    name: "an old secret sent with the new one",
    presented: [NEW, OLD],
    accepted: [OLD],
    proven: true,
  },
  {
    name: "a new secret accepted beside the old one",
    presented: [NEW],
    accepted: [OLD, NEW],
    proven: true,
  },
  {
    name: "a wrong secret",
    presented: ["other"],
    accepted: [OLD, NEW],
    proven: false,
  },
  { name: "no secret", presented: [], accepted: [OLD], proven: false },
];

for (const { name, presented, accepted, proven } of SECRETS) {
  test(`${name} is ${proven ? "accepted" : "refused"}`, (t) => {
    const ends = { sender: A, receiver: B };
    t.is(
      isProven(proveLink(presented, ends), proveLink(accepted, ends)),
      proven,
    );
  });
}

const CHANGED_VERSIONS = { oldest: 1, newest: 1 };
const MISUSES: readonly [
  string,
  { sender: LinkEndpoint; receiver: LinkEndpoint },
][] = [
  ["replayed to a peer with a new nonce", {
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
  ["used after a change of the version range in transit", {
    sender: { ...A, versions: CHANGED_VERSIONS },
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
