/** The share of a pool's requests that were lost lately. */

interface WindowPart {
  readonly beganAt: number
  requests: number
  lost: number
}

const PART_MILLISECONDS = 250
const WINDOW_MILLISECONDS = 2_000
const STRESSED_SHARE = 0.06
/** Below this many lost requests a share says little. */
const FEWEST_LOST = 3

/** Counts ends of requests in a sliding window. */
export class RecentFailures {
  private parts: WindowPart[] = []

  static create (): RecentFailures {
    return new RecentFailures()
  }

  count (isLost: boolean, now: number): void {
    const part = this.current(now)
    part.requests += 1
    if (isLost) part.lost += 1
  }

  /** Whether so many requests are lost that no sound upstream may be left out. */
  isStressed (now: number): boolean {
    this.forgetOld(now)
    const requests = this.parts.reduce((sum, part) => sum + part.requests, 0)
    const lost = this.parts.reduce((sum, part) => sum + part.lost, 0)
    return lost >= FEWEST_LOST && lost > STRESSED_SHARE * requests
  }

  private current (now: number): WindowPart {
    this.forgetOld(now)
    const last = this.parts.at(-1)
    if (last !== undefined && now - last.beganAt < PART_MILLISECONDS) return last
    const part = { beganAt: now, requests: 0, lost: 0 }
    this.parts.push(part)
    return part
  }

  private forgetOld (now: number): void {
    this.parts = this.parts.filter((part) => now - part.beganAt < WINDOW_MILLISECONDS)
  }
}
