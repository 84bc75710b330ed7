/** The value below which a share of the values lies; 0 for no values. */
export function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}
