/** Usual answer times by kind of request. */

const WEIGHT = 0.05
const FIRST_GUESS_MILLISECONDS = 300

/** Moving averages of the answer times of a pool. */
export class KindTimes {
  private readonly means = new Map<string, number>()
  private overall: number | undefined

  static create (): KindTimes {
    return new KindTimes()
  }

  record (kind: string, milliseconds: number): void {
    this.means.set(kind, moved(this.means.get(kind), milliseconds))
    this.overall = moved(this.overall, milliseconds)
  }

  /** The usual time of a kind; 0 while unknown. */
  usualMilliseconds (kind: string): number {
    return this.means.get(kind) ?? 0
  }

  /** The mean over all requests. */
  meanMilliseconds (): number {
    return this.overall ?? FIRST_GUESS_MILLISECONDS
  }
}

function moved (mean: number | undefined, milliseconds: number): number {
  return mean === undefined ? milliseconds : mean + WEIGHT * (milliseconds - mean)
}
