import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import { coordinatorKey, type CoordinatorTerm } from "./coordinator_lease.ts";

/// Pending orders, kept in the store so that a new coordinator doesn't count an
/// engine as ready that the previous one has ordered to load another version.

const PendingOrder = Type.Object({
  engine: Type.String(),
  model: Type.String(),
  version: Type.String(),
  /// Wall-clock time from which on the order no longer counts as pending.
  until: Type.Number(),
});
export type PendingOrder = Static<typeof PendingOrder>;

const CoordinatorRecord = Type.Object({
  /// Revision of the sheet on which the orders are based.
  sheetRevision: Type.Integer(),
  orders: Type.Array(PendingOrder),
});
export type CoordinatorRecord = Static<typeof CoordinatorRecord>;

export interface CoordinatorRecords {
  /// Reads the record that earlier coordinators have written.
  read(): Promise<CoordinatorRecord>;
  /// Writes the record if the term is still the current one at the store.
  /// Returns whether it is.
  write(record: CoordinatorRecord, term: CoordinatorTerm): Promise<boolean>;
}

const EMPTY_RECORD: CoordinatorRecord = { sheetRevision: 0, orders: [] };

export function createCoordinatorRecords(
  store: KeyValueStore,
  region: string,
): CoordinatorRecords {
  const key = `steward-orders/${region}`;
  return {
    async read() {
      const found = await store.get(key);
      if (!found) return EMPTY_RECORD;
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
