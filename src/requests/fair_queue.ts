/// A queue that serves customers in proportion to their weights, counted in
/// tokens (start-time fair queueing). Its user bounds the size.

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
  /// The next item, which stays in the queue.
  peek(): Item | undefined;
  /// Removes an item that is served and advances the virtual time.
  serve(item: Item): void;
  /// Removes an item that was cancelled.
  remove(item: Item): void;
}

interface Tagged<Item> {
  readonly item: Item;
  /// Virtual time at which the item's service may begin.
  readonly startTag: number;
}

export function createFairQueue<Item extends FairQueueItem>(): FairQueue<Item> {
  let waiting: Tagged<Item>[] = [];
  const finishTags = new Map<string, number>();
  let virtualTime = 0;
  let tokens = 0;

  const extract = (item: Item) => {
    const found = waiting.find((tagged) => tagged.item === item);
    if (!found) return undefined;
    waiting = waiting.filter((tagged) => tagged !== found);
    tokens -= item.tokens;
    if (waiting.length === 0) finishTags.clear();
    return found;
  };

  const findNext = () => {
    let next: Tagged<Item> | undefined;
    for (const tagged of waiting) {
      if (!next || tagged.startTag < next.startTag) next = tagged;
    }
    return next;
  };

  return {
    get size() {
      return waiting.length;
    },
    get tokens() {
      return tokens;
    },
    push(item) {
      const startTag = Math.max(
        virtualTime,
        finishTags.get(item.customer) ?? 0,
      );
      finishTags.set(item.customer, startTag + item.tokens / item.weight);
      waiting.push({ item, startTag });
      tokens += item.tokens;
    },
    peek: () => findNext()?.item,
    serve(item) {
      const tagged = extract(item);
      if (tagged) virtualTime = Math.max(virtualTime, tagged.startTag);
    },
    remove: (item) => void extract(item),
  };
}
