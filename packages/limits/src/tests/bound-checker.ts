/**
 * The largest excess over `burst + rate * T` in any window of the given times, in requests;
 * at most 0 when the bound holds. One pass: for each end the worst start is kept.
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
