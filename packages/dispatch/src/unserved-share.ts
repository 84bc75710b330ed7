/** Measures the share of a pool's recent requests that were not served, because they failed or were refused. */

interface WindowPart {
  readonly beganAt: number
  requests: number
  unserved: number
}

const PART_MILLISECONDS = 100
const WINDOW_MILLISECONDS = 2_000
/** A pool is stressed when more than this share of its requests is not served. */
const STRESSED_SHARE = 0.08
/** With fewer unserved requests than this, the share is not significant. */
const MINIMUM_UNSERVED = 4

/** Counts served and unserved requests in a sliding window. */
export class UnservedShare {
  private readonly parts: WindowPart[] = []
  private requests = 0
  private unserved = 0

  static create (): UnservedShare {
    return new UnservedShare()
  }

  count (isUnserved: boolean, now: number): void {
    this.evictExpired(now)
    const part = this.current(now)
    part.requests += 1
    this.requests += 1
    if (!isUnserved) return
    part.unserved += 1
    this.unserved += 1
  }

  /** Whether so many requests are not served that no upstream may be idle. */
  isStressed (now: number): boolean {
    this.evictExpired(now)
    return this.unserved >= MINIMUM_UNSERVED && this.unserved > STRESSED_SHARE * this.requests
  }

  private current (now: number): WindowPart {
    const last = this.parts.at(-1)
    if (last !== undefined && now - last.beganAt < PART_MILLISECONDS) return last
    const part = { beganAt: now, requests: 0, unserved: 0 }
    this.parts.push(part)
    return part
  }

  private evictExpired (now: number): void {
    for (let first = this.parts[0]; first !== undefined && now - first.beganAt >= WINDOW_MILLISECONDS; first = this.parts[0]) {
      this.parts.shift()
      this.requests -= first.requests
      this.unserved -= first.unserved
    }
  }
}
