/// The parts of a request that select its route.

/// Returns the host of a Host field, without the port; "" if there is none.
export function hostOf(field: string | undefined): string {
  return (field ?? "").replace(/:\d+$/, "");
}

/// Returns the path of a request's target, without query and fragment.
export function pathOf(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}
