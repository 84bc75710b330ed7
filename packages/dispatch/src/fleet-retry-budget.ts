/** Limits the retries of a pool to a share of its requests within a sliding window. */

/** Allows `ratio` times the requests of the window plus `slack` retries. */
export interface FleetRetryBudgetSettings {
  readonly ratio: number
  readonly slack: number
  readonly windowMilliseconds: number
}

interface WindowPart {
  readonly beganAt: number
  requests: number
  retries: number
}

const PARTS_PER_WINDOW = 20
/** Share of the slack that is handed out. The rest covers retries that were not counted here, as after a change of leader. */
const USABLE_SLACK_SHARE = 0.6

/** Counts the requests and retries of one pool. */
export class FleetRetryBudget {
  private readonly parts: WindowPart[] = []
  /** Sums over the parts. */
  private requests = 0
  private retries = 0

  private constructor (private readonly terms: FleetRetryBudgetSettings) {}

  static create (terms: FleetRetryBudgetSettings): FleetRetryBudget {
    return new FleetRetryBudget(terms)
  }

  recordRequest (now: number): void {
    this.current(now).requests += 1
    this.requests += 1
  }

  /** Takes one retry from the budget; false when it is spent. */
  tryTakeRetry (now: number): boolean {
    if (!this.allowsRetry(now)) return false
    this.current(now).retries += 1
    this.retries += 1
    return true
  }

  allowsRetry (now: number): boolean {
    this.evictExpired(now)
    return this.retries + 1 <= this.terms.ratio * this.requests + USABLE_SLACK_SHARE * this.terms.slack
  }

  private current (now: number): WindowPart {
    this.evictExpired(now)
    const last = this.parts.at(-1)
    if (last !== undefined && now < last.beganAt + this.terms.windowMilliseconds / PARTS_PER_WINDOW) return last
    const part = { beganAt: now, requests: 0, retries: 0 }
    this.parts.push(part)
    return part
  }

  private evictExpired (now: number): void {
    for (let first = this.parts[0]; first !== undefined && first.beganAt <= now - this.terms.windowMilliseconds; first = this.parts[0]) {
      this.parts.shift()
      this.requests -= first.requests
      this.retries -= first.retries
    }
  }
}
