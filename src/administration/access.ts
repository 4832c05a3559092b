import { timingSafeEqual } from "node:crypto";

/// Role-based access to the administration API: the role "operate" permits
/// changes, the role "view" permits only reading.

export type Role = "view" | "operate";

/// The request's token does not grant the required role.
export class AccessDeniedError extends Error {
  override readonly name = "AccessDeniedError";
}

export interface AccessTokens {
  readonly operateToken: string;
  readonly viewToken?: string;
}

function equalsInConstantTime(left: string, right: string): boolean {
  const first = Buffer.from(left);
  const second = Buffer.from(right);
  return first.length === second.length && timingSafeEqual(first, second);
}

/// The role that the token of an `Authorization` header grants. Throws
/// `AccessDeniedError` if it is not at least `requiredRole`.
export function requireRole(
  authorization: string | undefined,
  { requiredRole, tokens }: { requiredRole: Role; tokens: AccessTokens },
): Role {
  const headerValue = authorization ?? "";
  const token = headerValue.startsWith("Bearer ") ? headerValue.slice(7) : "";
  if (equalsInConstantTime(token, tokens.operateToken)) return "operate";
  const isViewToken = tokens.viewToken !== undefined &&
    equalsInConstantTime(token, tokens.viewToken);
  if (isViewToken && requiredRole === "view") return "view";
  throw new AccessDeniedError(`the role ${requiredRole} is needed`);
}
