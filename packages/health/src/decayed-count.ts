/** Counts of good and bad attempts that decay exponentially; times are monotonic milliseconds. */
export class DecayedCount {
  private goodSum = 0
  private badSum = 0
  private updatedMilliseconds = 0

  private constructor (private readonly timeConstantMilliseconds: number) {}

  /** Counts decay to 1/e (37 %) within `timeConstantMilliseconds`. */
  static create (timeConstantMilliseconds: number): DecayedCount {
    return new DecayedCount(timeConstantMilliseconds)
  }

  add (good: number, bad: number, nowMilliseconds: number): void {
    this.decay(nowMilliseconds)
    this.goodSum += good
    this.badSum += bad
  }

  good (nowMilliseconds: number): number {
    this.decay(nowMilliseconds)
    return this.goodSum
  }

  bad (nowMilliseconds: number): number {
    this.decay(nowMilliseconds)
    return this.badSum
  }

  total (nowMilliseconds: number): number {
    this.decay(nowMilliseconds)
    return this.goodSum + this.badSum
  }

  /** Share of bad attempts; 0 if no attempts are left in the counts. */
  badShare (nowMilliseconds: number): number {
    const total = this.total(nowMilliseconds)
    return total < 1e-6 ? 0 : this.badSum / total
  }

  reset (): void {
    this.goodSum = 0
    this.badSum = 0
  }

  private decay (nowMilliseconds: number): void {
    const passed = nowMilliseconds - this.updatedMilliseconds
    if (passed <= 0) return
    const factor = Math.exp(-passed / this.timeConstantMilliseconds)
    this.goodSum *= factor
    this.badSum *= factor
    this.updatedMilliseconds = nowMilliseconds
  }
}
