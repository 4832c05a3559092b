import { timingSafeEqual } from "node:crypto";

/// Who may do what: an operator with the role "operate" may change things,
/// one with "view" may only look.

export type Role = "view" | "operate";

/// The request's token does not give the role that is needed.
export class AccessDeniedError extends Error {
  override readonly name = "AccessDeniedError";
}

export interface AccessTokens {
  readonly operateToken: string;
  readonly viewToken?: string;
}

function sameText(left: string, right: string): boolean {
  const first = Buffer.from(left);
  const second = Buffer.from(right);
  return first.length === second.length && timingSafeEqual(first, second);
}

/// The role that an `Authorization` header gives. Throws `AccessDeniedError`
/// if it is not at least `needed`.
export function requireRole(
  authorization: string | undefined,
  { needed, tokens }: { needed: Role; tokens: AccessTokens },
): Role {
  const given = authorization ?? "";
  const token = given.startsWith("Bearer ") ? given.slice(7) : "";
  if (sameText(token, tokens.operateToken)) return "operate";
  const views = tokens.viewToken !== undefined &&
    sameText(token, tokens.viewToken);
  if (views && needed === "view") return "view";
  throw new AccessDeniedError(`the role ${needed} is needed`);
}
