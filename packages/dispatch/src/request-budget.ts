/** Budget of a pool for requests that are sent once more: a share of its requests within a sliding window. */

/** How much may be repeated: `ratio` of the requests plus `slack`, within the window. */
export interface BudgetTerms {
  readonly ratio: number
  readonly slack: number
  readonly windowMilliseconds: number
}

interface WindowPart {
  readonly beganAt: number
  requests: number
  repeats: number
}

const PARTS_OF_WINDOW = 20
/** Part of the slack that stays unused for repeats that were not counted here, as after a change of leader. */
const USED_SHARE_OF_SLACK = 0.6

/** Counts requests and repeats of one pool. */
export class RequestBudget {
  private readonly parts: WindowPart[] = []

  private constructor (private readonly terms: BudgetTerms) {}

  static create (terms: BudgetTerms): RequestBudget {
    return new RequestBudget(terms)
  }

  countRequest (now: number): void {
    this.current(now).requests += 1
  }

  /** Takes one repeat from the budget; false when it is spent. */
  takeRepeat (now: number): boolean {
    if (!this.allowsRepeat(now)) return false
    this.current(now).repeats += 1
    return true
  }

  allowsRepeat (now: number): boolean {
    this.current(now)
    const requests = this.parts.reduce((sum, part) => sum + part.requests, 0)
    const repeats = this.parts.reduce((sum, part) => sum + part.repeats, 0)
    return repeats + 1 <= this.terms.ratio * requests + USED_SHARE_OF_SLACK * this.terms.slack
  }

  private current (now: number): WindowPart {
    while (this.parts.length > 0 && (this.parts[0] as WindowPart).beganAt <= now - this.terms.windowMilliseconds) this.parts.shift()
    const last = this.parts.at(-1)
    if (last !== undefined && now < last.beganAt + this.terms.windowMilliseconds / PARTS_OF_WINDOW) return last
    const part = { beganAt: now, requests: 0, repeats: 0 }
    this.parts.push(part)
    return part
  }
}
