import { type Static, Type } from "@sinclair/typebox";
import { defineMessage } from "../links/message.ts";

/// Messages with load reports that one VM has read for others. The values are
/// columns with one row for each engine, so that a message contains each field
/// name only once.

const Numbers = Type.Array(Type.Number());

/// Values that change with every report.
const LoadColumns = Type.Object({
  engines: Type.Array(Type.String()),
  /// Age of each report when the message was sent, in milliseconds.
  ages: Numbers,
  queuedTokens: Numbers,
  runningStreams: Numbers,
  freeTokens: Numbers,
});
export type LoadColumns = Static<typeof LoadColumns>;

/// Values that rarely change.
const PropertyColumns = Type.Object({
  engines: Type.Array(Type.String()),
  memoryTokens: Numbers,
  prefillTokensPerSecond: Numbers,
  decodeMilliseconds: Numbers,
  models: Type.Array(Type.String()),
  versions: Type.Array(Type.String()),
});
export type PropertyColumns = Static<typeof PropertyColumns>;

export const LoadMessage = defineMessage("engines.load", LoadColumns);
export const PropertiesMessage = defineMessage(
  "engines.facts",
  PropertyColumns,
);
