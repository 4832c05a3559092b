import {
  type AcceptedSheet,
  type Customer,
  EMPTY_SHEET,
  type ModelShare,
  type ServiceOperation,
  type SheetOptions,
  type Upstream,
} from "./sheet.ts";

/// The sheet in force on this VM, indexed for look-ups. A request uses the same
/// `Contracts` value from its start to its end.
export interface Contracts {
  readonly revision: number;
  readonly options: SheetOptions;
  readonly sheet: AcceptedSheet["sheet"];
  /// The customer with an API key of this SHA-256, in lower-case hexadecimal.
  customerOf(keyHash: string): Customer | undefined;
  /// Versions of `model` that the customer may use; empty if none.
  sharesOf(customer: string, model: string): readonly ModelShare[];
  hasModel(model: string): boolean;
  /// Upstreams of a kind that serve this model or service.
  upstreamsOf(kind: Upstream["kind"], serves: string): readonly Upstream[];
  operation(
    service: string,
    method: string,
    path: string,
  ): ServiceOperation | undefined;
}

/// Holds the sheet in force. The revision only ever increases.
export interface ContractBook {
  current(): Contracts;
  /// Puts a sheet in force if it is newer. Returns whether it was newer.
  adopt(accepted: AcceptedSheet): boolean;
  onChange(listener: (contracts: Contracts) => void): void;
}

function groupBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group) group.push(item);
    else groups.set(key, [item]);
  }
  return groups;
}

/// Indexes an accepted sheet.
export function createContracts(accepted: AcceptedSheet): Contracts {
  const { sheet, revision } = accepted;
  const byKeyHash = new Map(
    sheet.customers.flatMap((customer) =>
      customer.keyHashes.map((hash) => [hash, customer] as const)
    ),
  );
  const shares = groupBy(
    sheet.models,
    (share) => `${share.customer} ${share.model}`,
  );
  const models = new Set(sheet.models.map((share) => share.model));
  const upstreams = groupBy(
    sheet.upstreams,
    (upstream) => `${upstream.kind} ${upstream.serves}`,
  );
  const operations = new Map(
    sheet.operations.map((operation) => [
      `${operation.service} ${operation.method} ${operation.path}`,
      operation,
    ]),
  );
  return {
    revision,
    sheet,
    options: sheet.options,
    customerOf: (keyHash) => byKeyHash.get(keyHash),
    sharesOf: (customer, model) => shares.get(`${customer} ${model}`) ?? [],
    hasModel: (model) => models.has(model),
    upstreamsOf: (kind, serves) => upstreams.get(`${kind} ${serves}`) ?? [],
    operation: (service, method, path) =>
      operations.get(`${service} ${method} ${path}`),
  };
}

/// Creates a book with the empty sheet, revision 0, in force.
export function createContractBook(): ContractBook {
  let current = createContracts({ revision: 0, sheet: EMPTY_SHEET });
  const listeners: ((contracts: Contracts) => void)[] = [];
  return {
    current: () => current,
    adopt(accepted) {
      if (accepted.revision <= current.revision) return false;
      current = createContracts(accepted);
      listeners.forEach((listener) => listener(current));
      return true;
    },
    onChange: (listener) => void listeners.push(listener),
  };
}
