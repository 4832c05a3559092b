import type { SheetFault } from "../contracts/sheet_check.ts";
import { warningsOf } from "../contracts/sheet_check.ts";
import { parseSheetCsv } from "../contracts/sheet_csv.ts";
import { formatSheetCsv } from "../contracts/sheet_csv_writer.ts";
import type { SheetChange } from "../contracts/sheet_diff.ts";
import {
  AdministrationError,
  AdministrationUnansweredError,
} from "./administration_client.ts";
import type { AdministrationProblem } from "./administration_schemas.ts";
import { formatTable } from "./text_table.ts";
import {
  EXIT,
  type ExitCode,
  printResult,
  type ToolCommand,
  type ToolContext,
  ToolUsageError,
} from "./tool_command.ts";

/// The tool's `sheet` commands.

const APPLY_ID_BYTES = 16;

/// Reads and checks the file that is the command's operand.
async function readOperand({ operands, readFile }: ToolContext) {
  const [file] = operands;
  if (file === undefined) throw new ToolUsageError("expected a file");
  return { file, sheet: parseSheetCsv(await readFile(file)) };
}

const positionOf = ({ row, column, path }: SheetFault) =>
  row === undefined ? path ?? "" : `row ${row}, column ${column}`;

function formatFaults(faults: readonly SheetFault[]): string {
  return faults.map((fault) => `${positionOf(fault)}: ${fault.message}`)
    .join("\n");
}

/// Prints the faults of a sheet: as JSON on standard output, or as text on
/// standard error.
export function printFaults(
  context: Pick<ToolContext, "flags" | "print" | "printError">,
  faults: readonly SheetFault[],
): ExitCode {
  if (context.flags.json) {
    context.print(JSON.stringify({ valid: false, faults }, null, 2));
  } else context.printError(formatFaults(faults));
  return EXIT.invalidSheet;
}

const formatValue = (value: unknown) =>
  typeof value === "string" ? value : JSON.stringify(value);

function formatChange({ kind, section, row, columns }: SheetChange): string {
  const sign = { added: "+", removed: "-", changed: "~" }[kind];
  const details = columns.map(({ column, before, after }) =>
    `    ${column}: ${formatValue(before)} -> ${formatValue(after)}`
  );
  return [`${sign} ${section} ${row}`.trimEnd(), ...details].join("\n");
}

function formatChanges(
  { total, changes }: { total: number; changes: readonly SheetChange[] },
): string {
  const omitted = total - changes.length;
  const omissionNote = omitted > 0 ? [`and ${omitted} more`] : [];
  return [...changes.map(formatChange), ...omissionNote].join("\n") ||
    "no changes";
}

/// Checks a file locally; no daemon is needed.
export const checkFile: ToolCommand = async (context) => {
  const { sheet } = await readOperand(context);
  const warnings = warningsOf(sheet);
  return printResult(
    context,
    { valid: true, faults: [], warnings },
    () => ["valid", ...warnings.map((text) => `warning: ${text}`)].join("\n"),
  );
};

export const diffFile: ToolCommand = async (context) => {
  const { sheet } = await readOperand(context);
  const diff = await context.client.diffSheet({ sheet });
  return printResult(
    context,
    diff,
    () => `against revision ${diff.revision}\n${formatChanges(diff)}`,
  );
};

/// Values that a retry of the same apply has to repeat.
interface ApplyIdentity {
  readonly file: string;
  readonly base: number;
  readonly applyId: string;
}

function reportApplyFailure(
  context: ToolContext,
  problem: AdministrationProblem,
  { file, base, applyId }: ApplyIdentity,
): ExitCode {
  const { flags, print, printError } = context;
  const { code, message, faults, conflict } = problem;
  if (faults) return printFaults(context, faults);
  if (flags.json) print(JSON.stringify({ ...problem, base, applyId }, null, 2));
  if (conflict) {
    printError(`conflict: ${message}; the winner against your sheet:`);
    printError(formatChanges(conflict));
    return EXIT.conflict;
  }
  // An earlier attempt with the same apply ID may have been accepted.
  const mayHaveBeenAccepted = flags.applyId !== undefined &&
    code === "unavailable";
  if (code !== "undecided" && !mayHaveBeenAccepted) {
    printError(`${code}: ${message}; nothing was changed`);
    return EXIT.failed;
  }
  printError(`undecided: ${message}; ask again with`);
  printError(
    `  sequoiaturn sheet apply ${file} --base ${base} --apply-id ${applyId}`,
  );
  return EXIT.undecided;
}

async function readNewestRevision({ client }: ToolContext): Promise<number> {
  const { revisions } = await client.readHistory();
  return revisions[0]?.revision ?? 0;
}

export const applyFile: ToolCommand = async (context) => {
  const { client, flags } = context;
  const { file, sheet } = await readOperand(context);
  if (flags.applyId !== undefined && flags.base === undefined) {
    throw new ToolUsageError("--apply-id needs --base");
  }
  const base = flags.base ?? await readNewestRevision(context);
  const applyId = flags.applyId ?? context.randomHex(APPLY_ID_BYTES);
  const { author } = flags;
  try {
    const reply = await client.applySheet({ sheet, base, applyId, author });
    return printResult(
      context,
      { ...reply, applyId },
      () =>
        [
          `accepted as revision ${reply.revision}`,
          ...reply.warnings.map((text) => `warning: ${text}`),
        ].join("\n"),
    );
  } catch (error) {
    const identity = { file, base, applyId };
    if (error instanceof AdministrationUnansweredError) {
      const problem = { code: "undecided", message: error.message };
      return reportApplyFailure(context, problem, identity);
    }
    if (!(error instanceof AdministrationError)) throw error;
    return reportApplyFailure(context, error.problem, identity);
  }
};

export const showSheet: ToolCommand = async (context) => {
  const { client, flags } = context;
  if (!flags.everywhere) {
    const accepted = await client.readSheet();
    return printResult(context, accepted, ({ sheet }) => formatSheetCsv(sheet));
  }
  const everywhere = await client.readRevisions();
  return printResult(context, everywhere, ({ newest, vms }) => {
    const outdatedVmCount = vms.filter(({ revision }) =>
      revision !== newest
    ).length;
    const table = formatTable(
      ["vm", "data centre", "state", "revision"],
      vms.map((vm) => [vm.vm, vm.dataCentre, vm.state, vm.revision]),
    );
    return `${table}\nnewest ${newest}; ${outdatedVmCount} VM(s) not on it`;
  });
};

export const showHistory: ToolCommand = async (context) =>
  printResult(
    context,
    await context.client.readHistory(),
    ({ revisions }) =>
      formatTable(
        ["revision", "time", "author", "apply id"],
        revisions.map(({ revision, time, author, applyId }) => [
          revision,
          new Date(time).toISOString(),
          author,
          applyId,
        ]),
      ),
  );
