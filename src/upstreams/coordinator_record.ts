import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import { coordinatorKey, type CoordinatorTerm } from "./coordinator_lease.ts";

/// Orders under way, kept in the store so that a new steward counts no engine
/// as ready that the one before has told to load something else.

const PendingOrder = Type.Object({
  engine: Type.String(),
  model: Type.String(),
  version: Type.String(),
  /// Wall-clock time at which the order no longer counts as under way.
  until: Type.Number(),
});
export type PendingOrder = Static<typeof PendingOrder>;

const CoordinatorRecord = Type.Object({
  /// Revision of the sheet that the orders follow.
  sheetRevision: Type.Integer(),
  orders: Type.Array(PendingOrder),
});
export type CoordinatorRecord = Static<typeof CoordinatorRecord>;

export interface CoordinatorRecords {
  /// Reads what earlier stewards have left.
  read(): Promise<CoordinatorRecord>;
  /// Writes the record if the tenure still stands at the store. Returns
  /// whether it does.
  write(record: CoordinatorRecord, tenure: CoordinatorTerm): Promise<boolean>;
}

const NOTHING: CoordinatorRecord = { sheetRevision: 0, orders: [] };

export function createCoordinatorRecords(
  store: KeyValueStore,
  region: string,
): CoordinatorRecords {
  const key = `steward-orders/${region}`;
  return {
    async read() {
      const found = await store.get(key);
      if (!found) return NOTHING;
      const text = Buffer.from(found.value).toString();
      return Value.Parse(CoordinatorRecord, JSON.parse(text));
    },
    async write(record, { fencing }) {
      const guard = { key: coordinatorKey(region), modifiedRevision: fencing };
      const value = Buffer.from(JSON.stringify(record));
      const put = { kind: "put" as const, key, value };
      return (await store.transact([guard], [put])).succeeded;
    },
  };
}
