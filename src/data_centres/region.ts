/// Regions are groups of data centres that are close to each other. A data
/// centre named `region.name` belongs to `region`. Data centres whose names have
/// no dot form one region, `default`.

const SEPARATOR = ".";
const DEFAULT_REGION = "default";

export function regionOf(dataCentre: string): string {
  const separatorIndex = dataCentre.indexOf(SEPARATOR);
  return separatorIndex > 0
    ? dataCentre.slice(0, separatorIndex)
    : DEFAULT_REGION;
}
