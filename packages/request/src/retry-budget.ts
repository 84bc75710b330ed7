/** Shares of a pool's requests that may be sent once more, and the reserve for quiet times. */
export interface RetryBudgetSettings {
  readonly share: number
  readonly reserve: number
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetSettings = { share: 0.07, reserve: 10 }
export const DEFAULT_HEDGE_BUDGET: RetryBudgetSettings = { share: 0.02, reserve: 3 }

/** Counts what may be sent on top of the first attempts of one pool. */
export class RetryBudget {
  private tokens: number

  private constructor (private readonly settings: RetryBudgetSettings) {
    this.tokens = settings.reserve
  }

  static create (settings: RetryBudgetSettings): RetryBudget {
    return new RetryBudget(settings)
  }

  /** Counts a first attempt. */
  deposit (): void {
    this.tokens = Math.min(this.settings.reserve, this.tokens + this.settings.share)
  }

  /** Takes the right to send once more. */
  withdraw (): boolean {
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }

  /** Gives back a right that was not used. */
  refund (): void {
    this.tokens = Math.min(this.settings.reserve, this.tokens + 1)
  }
}
