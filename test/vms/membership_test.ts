import test from "ava";
import { startMembershipMessages } from "../../src/links/membership_messages.ts";
import { createSilentLogger } from "../../src/support/log.ts";
import { createMembership } from "../../src/vms/membership.ts";
import { createFakeClock } from "../../stand_ins/fake_clock.ts";
import { createLocalNetwork } from "../../stand_ins/local_links.ts";
import { createLocalVmList } from "../../stand_ins/local_vm_list.ts";

const LIST_LAG_MILLISECONDS = 20_000;
/// Age of an incarnation above which the list applies to it.
const COVERED_AGE_MILLISECONDS = 31_000;

function startVms(names: readonly string[]) {
  const clock = createFakeClock();
  const network = createLocalNetwork(clock);
  const vmList = createLocalVmList(clock, LIST_LAG_MILLISECONDS);
  const expelled: string[] = [];
  const list = (name: string, state: "live" | "leaving" = "live") =>
    vmList.set({ name, dataCentre: "seeb", linkAddress: "", state });
  const start = (vm: string, incarnation = "1") => {
    const self = { vm, incarnation, dataCentre: "seeb" };
    const links = network.join(self);
    const membership = createMembership({
      clock,
      log: createSilentLogger(),
      self,
      vmList,
      peers: links,
    });
    const onExpelled = () => void expelled.push(`${vm} ${incarnation}`);
    startMembershipMessages({
      clock,
      links,
      membership,
      onDeclaredGone: onExpelled,
    });
    list(vm);
    return membership;
  };
  const all = names.map((name) => start(name));
  return { clock, network, vmList, list, start, expelled, all };
}

const memberOf = (
  membership: ReturnType<typeof createMembership>,
  name: string,
) => membership.members().find((member) => member.vm === name);

test("a leaving VM is no candidate after 3 s although the list lags", async (t) => {
  const { clock, all, list } = startVms(["a", "b", "c"]);
  await clock.advance(1_000);
  t.deepEqual(all[1]!.candidates(), ["a", "b", "c"]);
  all[0]!.leave();
  list("a", "leaving");
  await clock.advance(3_000);
  for (const membership of all) {
    t.deepEqual(membership.candidates(), ["b", "c"]);
  }
  t.is(memberOf(all[1]!, "a")?.state, "leaving");
});

test("a VM that joins later receives the leaving state of another", async (t) => {
  const { clock, all, start } = startVms(["a", "b"]);
  all[0]!.leave();
  await clock.advance(1_000);
  const late = start("z");
  await clock.advance(2_000);
  t.deepEqual(late.candidates(), ["b", "z"]);
});

test("the list alone sets a VM to leaving, and never to live again", async (t) => {
  const { clock, all, list } = startVms(["a", "b"]);
  await clock.advance(COVERED_AGE_MILLISECONDS);
  list("a", "leaving");
  await clock.advance(LIST_LAG_MILLISECONDS + 2_000);
  t.deepEqual(all[1]!.candidates(), ["b"]);
  list("a", "live");
  await clock.advance(LIST_LAG_MILLISECONDS + 2_000);
  t.deepEqual(all[1]!.candidates(), ["b"]);
});

test("the list's entry of an old incarnation isn't applied to a new one", async (t) => {
  const { clock, all, list, start, network } = startVms(["a", "b"]);
  await clock.advance(LIST_LAG_MILLISECONDS + 2_000);
  list("a", "leaving");
  await clock.advance(LIST_LAG_MILLISECONDS - 1_000);
  network.remove("a");
  start("a", "2");
  await clock.advance(5_000);
  t.like(memberOf(all[1]!, "a"), { incarnation: "2", state: "live" });
  t.true(all[1]!.isGone("a", "1"));
});

test("a partition makes a VM unreachable, not gone", async (t) => {
  const { clock, all, network } = startVms(["a", "b"]);
  await clock.advance(LIST_LAG_MILLISECONDS + 2_000);
  network.setCut("a", "b", true);
  await clock.advance(300_000);
  t.deepEqual(all[1]!.candidates(), ["b"]);
  t.like(memberOf(all[1]!, "a"), { state: "live", reachable: false });
  network.setCut("a", "b", false);
  await clock.advance(1_000);
  t.deepEqual(all[1]!.candidates(), ["a", "b"]);
});

test("an incarnation declared gone by its peers stays gone and is notified", async (t) => {
  const { clock, all, network, vmList, expelled } = startVms(["a", "b"]);
  await clock.advance(COVERED_AGE_MILLISECONDS);
  network.setCut("a", "b", true);
  vmList.remove("a");
  await clock.advance(LIST_LAG_MILLISECONDS + 15_000);
  t.true(all[1]!.isGone("a", "1"));
  network.setCut("a", "b", false);
  await clock.advance(2_000);
  t.deepEqual(all[1]!.candidates(), ["b"]);
  t.deepEqual(expelled, ["a 1"]);
});

test("an unreadable list changes nothing", async (t) => {
  const { clock, all, vmList } = startVms(["a", "b"]);
  await clock.advance(LIST_LAG_MILLISECONDS + 2_000);
  vmList.setDown(true);
  await clock.advance(60_000);
  t.deepEqual(all[1]!.candidates(), ["a", "b"]);
});
