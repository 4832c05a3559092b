/// Prompts that were sent to engines and whose prefill has not ended, grouped
/// by engine and by engine priority: those of this VM and those that other
/// VMs have announced.

export interface PrefillGroup {
  /// Smaller is more urgent.
  readonly priority: number;
  readonly tokens: number;
  readonly requests: number;
  /// Number of the requests that are long.
  readonly long: number;
}

export interface StartedPrefill {
  readonly priority: number;
  readonly tokens: number;
  readonly isLong: boolean;
}

export interface PrefillTracker {
  /// All prefills at the engine, of this VM and announced ones.
  groupsAt(engine: string): readonly PrefillGroup[];
  /// Only the prefills of this VM.
  ownGroupsAt(engine: string): readonly PrefillGroup[];
  /// Adds a prefill of this VM. The returned function removes it and is
  /// idempotent.
  add(engine: string, prefill: StartedPrefill): () => void;
  /// Replaces the prefills that `vm` has announced for an engine.
  setAnnounced(
    vm: string,
    engine: string,
    groups: readonly PrefillGroup[],
  ): void;
  /// Removes the prefills that VMs other than these have announced.
  retainVms(vms: readonly string[]): void;
  /// Engines at which this VM has prefills.
  ownEngines(): readonly string[];
  onOwnChange(listener: (engine: string) => void): void;
}

interface MutableGroup {
  tokens: number;
  requests: number;
  long: number;
}

export function createPrefillTracker(): PrefillTracker {
  const own = new Map<string, Map<number, MutableGroup>>();
  /// By engine, then by VM.
  const announced = new Map<string, Map<string, readonly PrefillGroup[]>>();
  const listeners: ((engine: string) => void)[] = [];

  const notify = (engine: string) =>
    listeners.forEach((listener) => listener(engine));

  const groupOf = (engine: string, priority: number) => {
    let groups = own.get(engine);
    if (!groups) own.set(engine, groups = new Map());
    let group = groups.get(priority);
    if (!group) {
      group = { tokens: 0, requests: 0, long: 0 };
      groups.set(priority, group);
    }
    return group;
  };

  const ownGroupsAt = (engine: string): PrefillGroup[] =>
    [...own.get(engine) ?? []]
      .filter(([, group]) => group.requests > 0)
      .map(([priority, group]) => ({ priority, ...group }));

  const groupsAt = (engine: string) => {
    const groups = ownGroupsAt(engine);
    for (const others of announced.get(engine)?.values() ?? []) {
      groups.push(...others);
    }
    return groups;
  };

  return {
    groupsAt,
    ownGroupsAt,
    add(engine, { priority, tokens, isLong }) {
      const group = groupOf(engine, priority);
      const long = isLong ? 1 : 0;
      group.tokens += tokens;
      group.requests++;
      group.long += long;
      notify(engine);
      let removed = false;
      return () => {
        if (removed) return;
        removed = true;
        group.tokens -= tokens;
        group.requests--;
        group.long -= long;
        notify(engine);
      };
    },
    setAnnounced(vm, engine, groups) {
      let byVm = announced.get(engine);
      if (!byVm) announced.set(engine, byVm = new Map());
      if (groups.length > 0) byVm.set(vm, groups);
      else byVm.delete(vm);
    },
    retainVms(vms) {
      const kept = new Set(vms);
      for (const byVm of announced.values()) {
        for (const vm of [...byVm.keys()]) if (!kept.has(vm)) byVm.delete(vm);
      }
    },
    ownEngines: () =>
      [...own.keys()].filter((name) => ownGroupsAt(name).length > 0),
    onOwnChange: (listener) => void listeners.push(listener),
  };
}
