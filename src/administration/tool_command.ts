import type { AdministrationClient } from "./administration_client.ts";

/// Types and helpers shared by the commands of the operators' tool.

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
  /// It is unknown whether the sheet was accepted; the apply has to be retried.
  undecided: 5,
  /// No daemon can be reached, or it did not respond.
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

/// A command's inputs, outputs and client.
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

/// The command line is not valid.
export class ToolUsageError extends Error {
  override readonly name = "ToolUsageError";
}

/// Prints a value: as JSON if the flag `json` is set, otherwise as text.
export function printResult<Value>(
  { flags, print }: ToolContext,
  value: Value,
  formatText: (value: Value) => string,
): ExitCode {
  print(flags.json ? JSON.stringify(value, null, 2) : formatText(value));
  return EXIT.ok;
}
