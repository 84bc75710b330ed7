/** The two shares of bad attempts between which the detector decides. */
export interface DetectorShares {
  /** Share that is currently normal in the pool. */
  readonly baseline: number
  /** Share expected of a faulty upstream. */
  readonly faulty: number
}

/**
 * CUSUM detector (Page's test): the cumulative sum of log-likelihood ratios, never below zero.
 * It detects a rise in the share of bad attempts as early as the accepted rate of false alarms allows.
 */
export class CusumDetector {
  private sum = 0

  static create (): CusumDetector {
    return new CusumDetector()
  }

  /** Adds attempts. Returns true if the sum is zero, which means that earlier attempts are no evidence any more. */
  add (good: number, bad: number, shares: DetectorShares): boolean {
    const gain = bad * Math.log(shares.faulty / shares.baseline) + good * Math.log((1 - shares.faulty) / (1 - shares.baseline))
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
