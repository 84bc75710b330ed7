/** Good and bad attempts that fade with time; times are monotonic milliseconds. */
export class DecayedCount {
  private goodSum = 0
  private badSum = 0
  private updatedMilliseconds = 0

  private constructor (private readonly fadeMilliseconds: number) {}

  /** Counts fade to 37 % within `fadeMilliseconds`. */
  static create (fadeMilliseconds: number): DecayedCount {
    return new DecayedCount(fadeMilliseconds)
  }

  add (good: number, bad: number, nowMilliseconds: number): void {
    this.fade(nowMilliseconds)
    this.goodSum += good
    this.badSum += bad
  }

  good (nowMilliseconds: number): number {
    this.fade(nowMilliseconds)
    return this.goodSum
  }

  bad (nowMilliseconds: number): number {
    this.fade(nowMilliseconds)
    return this.badSum
  }

  total (nowMilliseconds: number): number {
    this.fade(nowMilliseconds)
    return this.goodSum + this.badSum
  }

  /** Share of bad attempts; 0 without attempts. */
  badShare (nowMilliseconds: number): number {
    const total = this.total(nowMilliseconds)
    return total < 1e-6 ? 0 : this.badSum / total
  }

  reset (): void {
    this.goodSum = 0
    this.badSum = 0
  }

  private fade (nowMilliseconds: number): void {
    const passed = nowMilliseconds - this.updatedMilliseconds
    if (passed <= 0) return
    const factor = Math.exp(-passed / this.fadeMilliseconds)
    this.goodSum *= factor
    this.badSum *= factor
    this.updatedMilliseconds = nowMilliseconds
  }
}
