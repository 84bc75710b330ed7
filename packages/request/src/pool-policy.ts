import { build, type Histogram } from 'hdr-histogram-js'
import { DEFAULT_HEDGE_BUDGET, DEFAULT_RETRY_BUDGET, RetryBudget, type RetryBudgetSettings } from './retry-budget.ts'

/** Retries and hedging for one pool. */
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

const HIGHEST_MICROSECONDS = 60_000_000
const SAMPLES_PER_PERIOD = 2000

/** What one entry has learnt of one pool: its budgets, and how long its answers take. */
export class PoolPolicy {
  readonly retries: RetryBudget
  readonly hedges: RetryBudget
  private recent: Histogram
  private samples = 0
  private hedgeMilliseconds: number | undefined

  private constructor (private readonly settings: PoolPolicySettings) {
    this.retries = RetryBudget.create(settings.retry)
    this.hedges = RetryBudget.create(settings.hedge)
    this.recent = createHistogram()
  }

  static create (settings: PoolPolicySettings = DEFAULT_POOL_POLICY): PoolPolicy {
    return new PoolPolicy(settings)
  }

  /** Counts a first attempt in both budgets. */
  countRequest (): void {
    this.retries.deposit()
    this.hedges.deposit()
  }

  /** Records the time in milliseconds from the pick to the head of a good answer. */
  recordAnswer (milliseconds: number): void {
    this.recent.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1000))))
    this.samples += 1
    if (this.samples % this.settings.hedgeMinimumSamples === 0) this.renewQuantile()
    if (this.samples >= SAMPLES_PER_PERIOD) this.startPeriod()
  }

  /** Milliseconds after which a second copy may be sent; undefined while too little is known. */
  get hedgeAfterMilliseconds (): number | undefined {
    return this.hedgeMilliseconds
  }

  private renewQuantile (): void {
    const milliseconds = this.recent.getValueAtPercentile(this.settings.hedgePercentile) / 1000
    this.hedgeMilliseconds = Math.max(this.settings.hedgeMinimumMilliseconds, milliseconds)
  }

  private startPeriod (): void {
    this.recent.reset()
    this.samples = 0
  }
}

/** The policies of all pools of one entry. */
export class PoolPolicies {
  private readonly policies = new Map<string, PoolPolicy>()

  private constructor (private readonly settings: PoolPolicySettings) {}

  static create (settings: Partial<PoolPolicySettings> = {}): PoolPolicies {
    return new PoolPolicies({ ...DEFAULT_POOL_POLICY, ...settings })
  }

  of (pool: string): PoolPolicy {
    const known = this.policies.get(pool)
    if (known !== undefined) return known
    const created = PoolPolicy.create(this.settings)
    this.policies.set(pool, created)
    return created
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: 2, bitBucketSize: 32 })
}
