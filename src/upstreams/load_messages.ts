import { type Static, Type } from "@sinclair/typebox";
import { defineMessage } from "../links/message.ts";

/// Load reports that one VM read and others use. Values stand in columns, one
/// row for each engine, so that their names cross a link once.

const Numbers = Type.Array(Type.Number());

/// What changes all the time.
const LoadColumns = Type.Object({
  engines: Type.Array(Type.String()),
  /// Age of each report when the message was sent, in milliseconds.
  ages: Numbers,
  queuedTokens: Numbers,
  runningStreams: Numbers,
  freeTokens: Numbers,
});
export type LoadColumns = Static<typeof LoadColumns>;

/// What rarely changes.
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
