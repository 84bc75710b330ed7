/** Token bucket: each request adds `share` tokens, up to `reserve`. It starts full, so that retries are possible at low load. */
export interface RetryBudgetSettings {
  readonly share: number
  readonly reserve: number
}

export const DEFAULT_RETRY_BUDGET: RetryBudgetSettings = { share: 0.07, reserve: 10 }
export const DEFAULT_HEDGE_BUDGET: RetryBudgetSettings = { share: 0.02, reserve: 3 }

/** Limits the retries or hedges of one pool to a share of its requests. */
export class RetryBudget {
  private tokens: number

  private constructor (private readonly settings: RetryBudgetSettings) {
    this.tokens = settings.reserve
  }

  static create (settings: RetryBudgetSettings): RetryBudget {
    return new RetryBudget(settings)
  }

  /** Adds the share of one request. */
  deposit (): void {
    this.tokens = Math.min(this.settings.reserve, this.tokens + this.settings.share)
  }

  /** Takes a token. Returns false if there is none. */
  withdraw (): boolean {
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }

  /** Returns a token that was not used. */
  refund (): void {
    this.tokens = Math.min(this.settings.reserve, this.tokens + 1)
  }
}
