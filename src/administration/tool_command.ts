import type { AdministrationClient } from "./administration_client.ts";

/// What the commands of the operators' tool share.

/// Exit codes of the tool.
export const EXIT = {
  ok: 0,
  /// The daemon refused or failed; nothing was changed.
  failed: 1,
  /// The command line is wrong.
  usage: 2,
  /// The sheet has faults.
  invalidSheet: 3,
  /// Another sheet was accepted first.
  conflict: 4,
  /// Whether the sheet was accepted can't be told now; repeat the apply.
  undecided: 5,
  /// No daemon can be reached.
  unreachable: 6,
} as const;
export type ExitCode = typeof EXIT[keyof typeof EXIT];

export interface ToolFlags {
  readonly json: boolean;
  readonly everywhere: boolean;
  readonly html: boolean;
  readonly base: number | undefined;
  readonly applyId: string | undefined;
  readonly author: string;
}

/// Where a command's output goes and what it works with.
export interface ToolContext {
  readonly client: AdministrationClient;
  readonly flags: ToolFlags;
  /// Arguments after the command's name.
  readonly operands: readonly string[];
  readonly readFile: (path: string) => Promise<string>;
  /// `length` random bytes in hexadecimal.
  readonly randomHex: (length: number) => string;
  readonly print: (text: string) => void;
  readonly printError: (text: string) => void;
}

export type ToolCommand = (context: ToolContext) => Promise<ExitCode>;

/// The command line can't be understood.
export class ToolUsageError extends Error {
  override readonly name = "ToolUsageError";
}

/// Prints a value as JSON or as text, as the flags say.
export function show<Value>(
  { flags, print }: ToolContext,
  value: Value,
  toText: (value: Value) => string,
): ExitCode {
  print(flags.json ? JSON.stringify(value, null, 2) : toText(value));
  return EXIT.ok;
}
