/** Usual answer times by kind of request. */

const WEIGHT = 0.05
const FIRST_GUESS_MILLISECONDS = 300

/** Moving averages of the answer times of a pool. */
export class KindTimes {
  private readonly means = new Map<string, number>()

  static create (): KindTimes {
    return new KindTimes()
  }

  record (kind: string, milliseconds: number): void {
    const mean = this.means.get(kind)
    this.means.set(kind, mean === undefined ? milliseconds : mean + WEIGHT * (milliseconds - mean))
  }

  /** The usual time of a kind; 0 while unknown. */
  usualMilliseconds (kind: string): number {
    return this.means.get(kind) ?? 0
  }

  /** The mean over all kinds. */
  meanMilliseconds (): number {
    if (this.means.size === 0) return FIRST_GUESS_MILLISECONDS
    return [...this.means.values()].reduce((sum, mean) => sum + mean, 0) / this.means.size
  }
}
