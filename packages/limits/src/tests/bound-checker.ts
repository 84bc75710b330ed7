/**
 * Returns the largest excess over `burst + rate * T` in any window of length T, in requests; at most 0 if the
 * bound holds. Works in one pass by keeping the worst window start seen so far.
 */
export function worstExcess (admittedAtMilliseconds: readonly number[], ratePerSecond: number, burst: number): number {
  const times = [...admittedAtMilliseconds].sort((left, right) => left - right)
  let lowestBeforeStart = Infinity
  let worst = -Infinity
  for (const [count, time] of times.entries()) {
    const allowed = ratePerSecond * time / 1000
    lowestBeforeStart = Math.min(lowestBeforeStart, count - allowed)
    worst = Math.max(worst, count + 1 - allowed - lowestBeforeStart - burst)
  }
  return worst
}
