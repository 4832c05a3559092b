import {
  AdministrationError,
  AdministrationUnansweredError,
  AdministrationUnreachableError,
} from "./administration_client.ts";
import { SheetFaultsError } from "../contracts/sheet_check.ts";
import {
  EXIT,
  type ExitCode,
  type ToolCommand,
  type ToolContext,
  ToolUsageError,
} from "./tool_command.ts";
import { explain } from "./tool_explain.ts";
import { showBurn } from "./tool_burn.ts";
import {
  applyFile,
  checkFile,
  diffFile,
  printFaults,
  showHistory,
  showSheet,
} from "./tool_sheet.ts";
import {
  createKey,
  drain,
  showRequests,
  showStatus,
  showUpstreams,
} from "./tool_state.ts";

/// The operators' tool, apart from the parsing of its command line.

const COMMANDS: Readonly<Record<string, ToolCommand>> = {
  "sheet check": checkFile,
  "sheet diff": diffFile,
  "sheet apply": applyFile,
  "sheet show": showSheet,
  "sheet history": showHistory,
  status: showStatus,
  upstreams: showUpstreams,
  requests: showRequests,
  burn: showBurn,
  drain,
  explain,
  keys: createKey,
};

function findCommand(input: readonly string[]) {
  for (const length of [2, 1]) {
    const command = COMMANDS[input.slice(0, length).join(" ")];
    if (command) return { command, operands: input.slice(length) };
  }
  const names = Object.keys(COMMANDS).join(", ");
  throw new ToolUsageError(`expected one of the commands ${names}`);
}

function exitCodeOf(error: unknown): ExitCode {
  if (error instanceof ToolUsageError) return EXIT.usage;
  if (error instanceof AdministrationUnreachableError) return EXIT.unreachable;
  if (error instanceof AdministrationUnansweredError) return EXIT.unreachable;
  return EXIT.failed;
}

/// Runs one command; `input` is its name and operands. Resolves to the exit
/// code and never rejects.
export async function runTool(
  input: readonly string[],
  context: Omit<ToolContext, "operands">,
): Promise<ExitCode> {
  try {
    const { command, operands } = findCommand(input);
    return await command({ ...context, operands });
  } catch (error) {
    if (error instanceof SheetFaultsError) {
      return printFaults(context, error.faults);
    }
    if (error instanceof AdministrationError && error.problem.faults) {
      return printFaults(context, error.problem.faults);
    }
    context.printError((error as Error).message);
    return exitCodeOf(error);
  }
}
