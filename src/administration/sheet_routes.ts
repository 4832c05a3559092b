import type { ContractBook } from "../contracts/contract_book.ts";
import type { Sheet } from "../contracts/sheet.ts";
import {
  checkSheet,
  SheetFaultsError,
  warningsOf,
} from "../contracts/sheet_check.ts";
import { parseSheetCsv } from "../contracts/sheet_csv.ts";
import { diffSheets } from "../contracts/sheet_diff.ts";
import type { SheetFollower } from "../contracts/sheet_follower.ts";
import { acceptancesOf } from "../contracts/sheet_head.ts";
import {
  type AppliedSheet,
  SheetConflictError,
  type SheetProposal,
  type SheetStore,
} from "../contracts/sheet_store.ts";
import type { Clock } from "../support/clock.ts";
import type { Logger } from "../support/log.ts";
import type { Membership } from "../vms/membership.ts";
import {
  type AdministrationProblem,
  ApplyReply,
  ApplyRequest,
  CheckReply,
  DiffReply,
  HistoryReply,
  RevisionsReply,
  SheetDocument,
  SheetReply,
} from "./administration_schemas.ts";
import { defineRoute, type Operator, type Route } from "./route.ts";

/// The administration API's operations on the sheet.

export interface SheetRoutesOptions {
  readonly clock: Clock;
  readonly book: ContractBook;
  readonly sheets: SheetStore;
  readonly follower: SheetFollower;
  readonly membership: Membership;
  readonly audit: Logger;
}

/// The request's body is malformed: it doesn't match the schema, it has both
/// CSV and JSON or neither, or its CSV is too large.
export class MalformedDocumentError extends Error {
  override readonly name = "MalformedDocumentError";
}

/// The apply was rejected because another sheet was accepted first. `conflict`
/// names the accepted revision and lists how the given sheet differs from the
/// one in force on this VM, which may still be an older one.
export class ApplyConflictError extends Error {
  override readonly name = "ApplyConflictError";
  readonly conflict: NonNullable<AdministrationProblem["conflict"]>;
  constructor(
    message: string,
    conflict: NonNullable<AdministrationProblem["conflict"]>,
  ) {
    super(message);
    this.conflict = conflict;
  }
}

/// Changes that one response lists.
const MAXIMUM_REPORTED_CHANGES = 200;
/// Largest CSV that is parsed here, since parsing blocks the process. The tool
/// parses files itself and sends JSON.
const MAXIMUM_CSV_CHARACTERS = 262_144;
/// Longest wait until an accepted sheet is in force on this VM.
const IN_FORCE_TIMEOUT_MILLISECONDS = 3_000;

function readDocument({ csv, sheet }: SheetDocument): Sheet {
  if ((csv === undefined) === (sheet === undefined)) {
    throw new MalformedDocumentError("expected either csv or sheet");
  }
  if (csv === undefined) return checkSheet(sheet);
  if (csv.length > MAXIMUM_CSV_CHARACTERS) {
    throw new MalformedDocumentError("a CSV of this size is sent as JSON");
  }
  return parseSheetCsv(csv);
}

function describeChanges(before: Sheet, after: Sheet) {
  const changes = diffSheets(before, after);
  return {
    total: changes.length,
    changes: changes.slice(0, MAXIMUM_REPORTED_CHANGES),
  };
}

export function createSheetRoutes(
  options: SheetRoutesOptions,
): readonly Route[] {
  const { clock, book, sheets, follower, membership, audit } = options;

  /// Waits until a sheet is in force on this VM, at most for the timeout.
  const waitUntilInForce = (applied: AppliedSheet) =>
    Promise.race([
      follower.accept(applied),
      clock.sleep(IN_FORCE_TIMEOUT_MILLISECONDS),
    ]);

  /// Converts a store conflict into an error that describes the accepted sheet.
  const toApplyConflict = async (
    { currentHead: accepted, message }: SheetConflictError,
    proposal: SheetProposal,
  ) => {
    const { revision, author, time } = accepted;
    await waitUntilInForce({ revision, head: accepted, chunks: new Map() });
    const changes = describeChanges(book.current().sheet, proposal.sheet);
    return new ApplyConflictError(message, {
      revision,
      author,
      time,
      ...changes,
    });
  };

  const apply = async (
    proposal: SheetProposal,
    operator: Operator,
  ): Promise<AppliedSheet> => {
    const { author, applyId, base } = proposal;
    const fields = { author, applyId, base, ...operator };
    try {
      const applied = await sheets.apply(proposal);
      audit.info("sheet accepted", { ...fields, revision: applied.revision });
      return applied;
    } catch (error) {
      const { name, message } = error as Error;
      audit.warn("sheet not accepted", { ...fields, error: name, message });
      throw error instanceof SheetConflictError
        ? await toApplyConflict(error, proposal)
        : error;
    }
  };

  return [
    defineRoute("GET /v1/sheet", {
      summary: "The sheet in force on this VM",
      role: "view",
      reply: SheetReply,
      handle() {
        const { revision, sheet } = book.current();
        return { revision, sheet };
      },
    }),
    defineRoute("PUT /v1/sheet", {
      summary: "Puts a sheet in force in place of a revision",
      role: "operate",
      body: ApplyRequest,
      reply: ApplyReply,
      errors: ["invalid_sheet", "conflict", "unavailable", "undecided"],
      async handle({ body, operator }) {
        const { base, applyId, author, ...document } = body;
        const sheet = readDocument(document);
        const proposal = { sheet, base, applyId, author };
        const applied = await apply(proposal, operator);
        await waitUntilInForce(applied);
        const { revision } = applied;
        return { revision, warnings: [...warningsOf(sheet)] };
      },
    }),
    defineRoute("POST /v1/sheet/check", {
      summary: "Checks a sheet without applying it",
      role: "view",
      body: SheetDocument,
      reply: CheckReply,
      handle({ body }) {
        try {
          const warnings = [...warningsOf(readDocument(body))];
          return { valid: true, faults: [], warnings };
        } catch (error) {
          if (!(error instanceof SheetFaultsError)) throw error;
          return { valid: false, faults: [...error.faults], warnings: [] };
        }
      },
    }),
    defineRoute("POST /v1/sheet/diff", {
      summary: "What a sheet would change in the one in force",
      role: "view",
      body: SheetDocument,
      reply: DiffReply,
      errors: ["invalid_sheet"],
      handle({ body }) {
        const { revision, sheet } = book.current();
        return { revision, ...describeChanges(sheet, readDocument(body)) };
      },
    }),
    defineRoute("GET /v1/sheet/history", {
      summary: "The latest accepted revisions, the newest first",
      role: "view",
      reply: HistoryReply,
      handle() {
        const head = follower.newest();
        const revisions = head ? acceptancesOf(head) : [];
        return {
          revisions: revisions.map(({ revision, author, applyId, time }) => ({
            revision,
            author,
            applyId,
            time,
          })),
        };
      },
    }),
    defineRoute("GET /v1/sheet/revisions", {
      summary: "The revision in force on every VM",
      role: "view",
      reply: RevisionsReply,
      async handle() {
        const revisionsByVm = await follower.fetchRevisions();
        return {
          newest: follower.newest()?.revision ?? 0,
          vms: membership.members().map(({ vm, dataCentre, state }) => ({
            vm,
            dataCentre,
            state,
            revision: vm === membership.self.vm
              ? book.current().revision
              : revisionsByVm.get(vm),
          })),
        };
      },
    }),
  ];
}
