/// Regions are groups of data centres that are close to each other. A data
/// centre named `region.name` belongs to `region`; those without a dot share
/// one region.

const SEPARATOR = ".";
const ONLY_REGION = "default";

export function regionOf(dataCentre: string): string {
  const end = dataCentre.indexOf(SEPARATOR);
  return end > 0 ? dataCentre.slice(0, end) : ONLY_REGION;
}
