/** Returns the quantile of the values for a share from 0 to 1, or 0 if there are no values. */
export function quantile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}
