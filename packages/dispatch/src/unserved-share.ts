/** The share of a pool's requests that were not served lately, whether they failed or were refused. */

interface WindowPart {
  readonly beganAt: number
  requests: number
  unserved: number
}

const PART_MILLISECONDS = 100
const WINDOW_MILLISECONDS = 2_000
const STRESSED_SHARE = 0.08
/** Below this many a share says little. */
const FEWEST_UNSERVED = 4

/** Counts ends of requests in a sliding window. */
export class UnservedShare {
  private readonly parts: WindowPart[] = []
  private requests = 0
  private unserved = 0

  static create (): UnservedShare {
    return new UnservedShare()
  }

  count (isUnserved: boolean, now: number): void {
    this.forgetOld(now)
    const part = this.current(now)
    part.requests += 1
    this.requests += 1
    if (!isUnserved) return
    part.unserved += 1
    this.unserved += 1
  }

  /** Whether so many requests are not served that no upstream may be left out. */
  isStressed (now: number): boolean {
    this.forgetOld(now)
    return this.unserved >= FEWEST_UNSERVED && this.unserved > STRESSED_SHARE * this.requests
  }

  private current (now: number): WindowPart {
    const last = this.parts.at(-1)
    if (last !== undefined && now - last.beganAt < PART_MILLISECONDS) return last
    const part = { beganAt: now, requests: 0, unserved: 0 }
    this.parts.push(part)
    return part
  }

  private forgetOld (now: number): void {
    for (let first = this.parts[0]; first !== undefined && now - first.beganAt >= WINDOW_MILLISECONDS; first = this.parts[0]) {
      this.parts.shift()
      this.requests -= first.requests
      this.unserved -= first.unserved
    }
  }
}
