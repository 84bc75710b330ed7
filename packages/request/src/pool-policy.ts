import { build, type Histogram } from 'hdr-histogram-js'
import { DEFAULT_HEDGE_BUDGET, DEFAULT_RETRY_BUDGET, RetryBudget, type RetryBudgetSettings } from './retry-budget.ts'

/** Settings of retries and hedging for one pool. */
export interface PoolPolicySettings {
  readonly retry: RetryBudgetSettings
  readonly hedge: RetryBudgetSettings
  readonly hedgePercentile: number
  readonly hedgeMinimumSamples: number
  readonly hedgeMinimumMilliseconds: number
}

export const DEFAULT_POOL_POLICY: PoolPolicySettings = {
  retry: DEFAULT_RETRY_BUDGET,
  hedge: DEFAULT_HEDGE_BUDGET,
  hedgePercentile: 95,
  hedgeMinimumSamples: 200,
  hedgeMinimumMilliseconds: 2
}

const MAXIMUM_MICROSECONDS = 60_000_000
const SAMPLES_PER_WINDOW = 2000

/** Retry and hedge budgets of one pool at one entry, and the hedge delay derived from recent response times. */
export class PoolPolicy {
  readonly retries: RetryBudget
  readonly hedges: RetryBudget
  private responseTimes: Histogram
  private samples = 0
  private hedgeMilliseconds: number | undefined

  private constructor (private readonly settings: PoolPolicySettings) {
    this.retries = RetryBudget.create(settings.retry)
    this.hedges = RetryBudget.create(settings.hedge)
    this.responseTimes = createHistogram()
  }

  static create (settings: PoolPolicySettings = DEFAULT_POOL_POLICY): PoolPolicy {
    return new PoolPolicy(settings)
  }

  /** Credits both budgets for a new request. */
  countRequest (): void {
    this.retries.deposit()
    this.hedges.deposit()
  }

  /** Records the time from the start of an attempt to the head of a successful response. */
  recordResponseTime (milliseconds: number): void {
    this.responseTimes.recordValue(Math.min(MAXIMUM_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1000))))
    this.samples += 1
    if (this.samples % this.settings.hedgeMinimumSamples === 0) this.updateHedgeDelay()
    if (this.samples >= SAMPLES_PER_WINDOW) this.startWindow()
  }

  /** Delay after which a hedge may be sent; undefined until there are enough samples. */
  get hedgeAfterMilliseconds (): number | undefined {
    return this.hedgeMilliseconds
  }

  private updateHedgeDelay (): void {
    const milliseconds = this.responseTimes.getValueAtPercentile(this.settings.hedgePercentile) / 1000
    this.hedgeMilliseconds = Math.max(this.settings.hedgeMinimumMilliseconds, milliseconds)
  }

  private startWindow (): void {
    this.responseTimes.reset()
    this.samples = 0
  }
}

/** The pool policies of one entry, created on first use. */
export class PoolPolicies {
  private readonly policies = new Map<string, PoolPolicy>()

  private constructor (private readonly settings: PoolPolicySettings) {}

  static create (settings: Partial<PoolPolicySettings> = {}): PoolPolicies {
    return new PoolPolicies({ ...DEFAULT_POOL_POLICY, ...settings })
  }

  of (pool: string): PoolPolicy {
    const existing = this.policies.get(pool)
    if (existing !== undefined) return existing
    const created = PoolPolicy.create(this.settings)
    this.policies.set(pool, created)
    return created
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: MAXIMUM_MICROSECONDS, numberOfSignificantValueDigits: 2, bitBucketSize: 32 })
}
