import { type Static, Type } from "@sinclair/typebox";
import { Value } from "@sinclair/typebox/value";
import type { KeyValueStore } from "../infrastructure/key_value_store.ts";
import { stewardKey, type Tenure } from "./steward_lease.ts";

/// Orders under way, kept in the store so that a new steward counts no engine
/// as ready that the one before has told to load something else.

const OrderUnderWay = Type.Object({
  engine: Type.String(),
  model: Type.String(),
  version: Type.String(),
  /// Wall-clock time at which the order no longer counts as under way.
  until: Type.Number(),
});
export type OrderUnderWay = Static<typeof OrderUnderWay>;

const StewardRecord = Type.Object({
  /// Revision of the sheet that the orders follow.
  sheetRevision: Type.Integer(),
  orders: Type.Array(OrderUnderWay),
});
export type StewardRecord = Static<typeof StewardRecord>;

export interface StewardRecords {
  /// Reads what earlier stewards have left.
  read(): Promise<StewardRecord>;
  /// Writes the record if the tenure still stands at the store. Returns
  /// whether it does.
  write(record: StewardRecord, tenure: Tenure): Promise<boolean>;
}

const NOTHING: StewardRecord = { sheetRevision: 0, orders: [] };

export function createStewardRecords(
  store: KeyValueStore,
  region: string,
): StewardRecords {
  const key = `steward-orders/${region}`;
  return {
    async read() {
      const found = await store.get(key);
      if (!found) return NOTHING;
      const text = Buffer.from(found.value).toString();
      return Value.Parse(StewardRecord, JSON.parse(text));
    },
    async write(record, { fencing }) {
      const guard = { key: stewardKey(region), modifiedRevision: fencing };
      const value = Buffer.from(JSON.stringify(record));
      const put = { kind: "put" as const, key, value };
      return (await store.transact([guard], [put])).succeeded;
    },
  };
}
