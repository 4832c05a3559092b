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
  show,
  type ToolCommand,
  type ToolContext,
  ToolUsageError,
} from "./tool_command.ts";

/// The tool's commands on the sheet.

const APPLY_ID_BYTES = 16;

/// Reads and checks the file that a command names.
async function readOperand({ operands, readFile }: ToolContext) {
  const [file] = operands;
  if (file === undefined) throw new ToolUsageError("expected a file");
  return { file, sheet: parseSheetCsv(await readFile(file)) };
}

const placeOf = ({ row, column, path }: SheetFault) =>
  row === undefined ? path ?? "" : `row ${row}, column ${column}`;

function formatFaults(faults: readonly SheetFault[]): string {
  return faults.map((fault) => `${placeOf(fault)}: ${fault.message}`)
    .join("\n");
}

/// Prints the faults of a sheet.
export function showFaults(
  context: Pick<ToolContext, "flags" | "print" | "printError">,
  faults: readonly SheetFault[],
): ExitCode {
  if (context.flags.json) {
    context.print(JSON.stringify({ valid: false, faults }, null, 2));
  } else context.printError(formatFaults(faults));
  return EXIT.invalidSheet;
}

const quote = (value: unknown) =>
  typeof value === "string" ? value : JSON.stringify(value);

function formatChange({ kind, section, row, columns }: SheetChange): string {
  const sign = { added: "+", removed: "-", changed: "~" }[kind];
  const details = columns.map(({ column, before, after }) =>
    `    ${column}: ${quote(before)} -> ${quote(after)}`
  );
  return [`${sign} ${section} ${row}`.trimEnd(), ...details].join("\n");
}

function formatChanges(
  { total, changes }: { total: number; changes: readonly SheetChange[] },
): string {
  const left = total - changes.length;
  const rest = left > 0 ? [`and ${left} more`] : [];
  return [...changes.map(formatChange), ...rest].join("\n") || "no changes";
}

/// Checks a file without any daemon.
export const checkFile: ToolCommand = async (context) => {
  const { sheet } = await readOperand(context);
  const warnings = warningsOf(sheet);
  return show(
    context,
    { valid: true, faults: [], warnings },
    () => ["valid", ...warnings.map((text) => `warning: ${text}`)].join("\n"),
  );
};

export const diffFile: ToolCommand = async (context) => {
  const { sheet } = await readOperand(context);
  const diff = await context.client.diffSheet({ sheet });
  return show(
    context,
    diff,
    () => `against revision ${diff.revision}\n${formatChanges(diff)}`,
  );
};

interface ApplyIdentity {
  readonly file: string;
  readonly base: number;
  readonly applyId: string;
}

function explainFailure(
  context: ToolContext,
  problem: AdministrationProblem,
  { file, base, applyId }: ApplyIdentity,
): ExitCode {
  const { flags, print, printError } = context;
  const { code, message, faults, conflict } = problem;
  if (faults) return showFaults(context, faults);
  if (flags.json) print(JSON.stringify({ ...problem, base, applyId }, null, 2));
  if (conflict) {
    printError(`conflict: ${message}; the winner against your sheet:`);
    printError(formatChanges(conflict));
    return EXIT.conflict;
  }
  // An earlier try of the same apply may have been accepted.
  const repeated = flags.applyId !== undefined && code === "unavailable";
  if (code !== "undecided" && !repeated) {
    printError(`${code}: ${message}; nothing was changed`);
    return EXIT.failed;
  }
  printError(`undecided: ${message}; ask again with`);
  printError(
    `  sequoiaturn sheet apply ${file} --base ${base} --apply-id ${applyId}`,
  );
  return EXIT.undecided;
}

async function readNewest({ client }: ToolContext): Promise<number> {
  const { revisions } = await client.readHistory();
  return revisions[0]?.revision ?? 0;
}

export const applyFile: ToolCommand = async (context) => {
  const { client, flags } = context;
  const { file, sheet } = await readOperand(context);
  if (flags.applyId !== undefined && flags.base === undefined) {
    throw new ToolUsageError("--apply-id needs --base");
  }
  const base = flags.base ?? await readNewest(context);
  const applyId = flags.applyId ?? context.randomHex(APPLY_ID_BYTES);
  const { author } = flags;
  try {
    const reply = await client.applySheet({ sheet, base, applyId, author });
    return show(
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
      return explainFailure(context, problem, identity);
    }
    if (!(error instanceof AdministrationError)) throw error;
    return explainFailure(context, error.problem, identity);
  }
};

export const showSheet: ToolCommand = async (context) => {
  const { client, flags } = context;
  if (!flags.everywhere) {
    const accepted = await client.readSheet();
    return show(context, accepted, ({ sheet }) => formatSheetCsv(sheet));
  }
  const everywhere = await client.readRevisions();
  return show(context, everywhere, ({ newest, vms }) => {
    const behind = vms.filter(({ revision }) => revision !== newest).length;
    const table = formatTable(
      ["vm", "data centre", "state", "revision"],
      vms.map((vm) => [vm.vm, vm.dataCentre, vm.state, vm.revision]),
    );
    return `${table}\nnewest ${newest}; ${behind} VM(s) not on it`;
  });
};

export const showHistory: ToolCommand = async (context) =>
  show(
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
