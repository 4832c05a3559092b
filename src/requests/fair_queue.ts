/// A bounded queue that serves customers in proportion to their weights,
/// counted in tokens (start-time fair queueing).

export interface FairQueueItem {
  readonly customer: string;
  readonly weight: number;
  readonly tokens: number;
}

export interface FairQueue<Item extends FairQueueItem> {
  readonly size: number;
  /// Tokens of all items.
  readonly tokens: number;
  push(item: Item): void;
  /// The item that is next; it stays in the queue.
  peek(): Item | undefined;
  /// Takes out an item that was served.
  serve(item: Item): void;
  /// Takes out an item that gave up.
  remove(item: Item): void;
}

interface Tagged<Item> {
  readonly item: Item;
  /// Virtual time at which its service may begin.
  readonly start: number;
}

export function createFairQueue<Item extends FairQueueItem>(): FairQueue<Item> {
  let waiting: Tagged<Item>[] = [];
  const finishes = new Map<string, number>();
  let virtualTime = 0;
  let tokens = 0;

  const takeOut = (item: Item) => {
    const found = waiting.find((tagged) => tagged.item === item);
    if (!found) return undefined;
    waiting = waiting.filter((tagged) => tagged !== found);
    tokens -= item.tokens;
    if (waiting.length === 0) finishes.clear();
    return found;
  };

  const first = () => {
    let best: Tagged<Item> | undefined;
    for (const tagged of waiting) {
      if (!best || tagged.start < best.start) best = tagged;
    }
    return best;
  };

  return {
    get size() {
      return waiting.length;
    },
    get tokens() {
      return tokens;
    },
    push(item) {
      const start = Math.max(virtualTime, finishes.get(item.customer) ?? 0);
      finishes.set(item.customer, start + item.tokens / item.weight);
      waiting.push({ item, start });
      tokens += item.tokens;
    },
    peek: () => first()?.item,
    serve(item) {
      const tagged = takeOut(item);
      if (tagged) virtualTime = Math.max(virtualTime, tagged.start);
    },
    remove: (item) => void takeOut(item),
  };
}
