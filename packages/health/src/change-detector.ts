/** The shares of bad attempts between which a detector decides. */
export interface DetectorShares {
  /** Share that is usual in the pool now. */
  readonly usual: number
  /** Share that a faulty upstream shows. */
  readonly faulty: number
}

/**
 * Cumulative sum of the logarithm of likelihoods, never below zero (Page's test).
 * It notices a change in the share of bad attempts as early as a chosen rate of false alarms allows.
 */
export class ChangeDetector {
  private sum = 0

  static create (): ChangeDetector {
    return new ChangeDetector()
  }

  /** Adds attempts; gives true when the sum fell back to zero, so that what came before says nothing. */
  add (good: number, bad: number, shares: DetectorShares): boolean {
    const gain = bad * Math.log(shares.faulty / shares.usual) + good * Math.log((1 - shares.faulty) / (1 - shares.usual))
    this.sum = Math.max(0, this.sum + gain)
    return this.sum === 0
  }

  evidence (): number {
    return this.sum
  }

  reset (): void {
    this.sum = 0
  }
}
