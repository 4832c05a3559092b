import { execFileSync, type StdioOptions } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { fileURLToPath } from "node:url";

/// Builds the gateway of an earlier commit from the history of the repository.

const REPOSITORY = fileURLToPath(new URL("../../../", import.meta.url));
/// What the build of the gateway reads.
const SOURCES = ["src", "platform", "deploy", "package.json"];
const MAXIMUM_ARCHIVE_BYTES = 64_000_000;

/// A gateway that was built from an earlier commit.
export interface EarlierGateway {
  /// Path of the program.
  readonly program: string;
  /// Deletes the build.
  remove(): void;
}

function git(...words: readonly string[]): Buffer {
  const stdio: StdioOptions = ["ignore", "pipe", "pipe"];
  const maxBuffer = MAXIMUM_ARCHIVE_BYTES;
  return execFileSync("git", words, { cwd: REPOSITORY, stdio, maxBuffer });
}

function checkHistory(commit: string) {
  try {
    git("cat-file", "-e", `${commit}^{commit}`);
  } catch (cause) {
    throw new Error(
      `commit ${commit} is not in this clone: builds of earlier versions need ` +
        "the whole history (git fetch --unshallow)",
      { cause },
    );
  }
}

/// Builds the gateway of a commit in a temporary folder, as it is deployed but
/// with the packages of this checkout. Throws if the clone lacks the commit.
export function buildEarlierGateway(commit: string): EarlierGateway {
  checkHistory(commit);
  const folder = mkdtempSync(`${tmpdir()}/sequoiaturn-${commit}-`);
  const input = git("archive", commit, "--", ...SOURCES);
  execFileSync("tar", ["-x", "-C", folder], { input });
  symlinkSync(`${REPOSITORY}node_modules`, `${folder}/node_modules`);
  mkdirSync(`${folder}/target`);
  execFileSync(process.execPath, ["deploy/bundle.js"], { cwd: folder });
  return {
    program: `${folder}/target/gateway.cjs`,
    remove: () => rmSync(folder, { recursive: true }),
  };
}
