import type { RateAndBurst } from './limit-arrivals.ts'

/** A way to share a rate that is compared with the product's; without delays. */
export interface LimitBaseline {
  /** Whether a request at an entry is admitted at a time in milliseconds. */
  admit (entry: number, atMilliseconds: number): boolean
}

class PlainBucket {
  private level: number
  private at = 0

  constructor (private readonly limit: RateAndBurst) {
    this.level = limit.burst
  }

  take (at: number): boolean {
    this.level = Math.min(this.limit.burst, this.level + (at - this.at) * this.limit.rate / 1000)
    this.at = at
    if (this.level < 1) return false
    this.level -= 1
    return true
  }
}

/** When the first home is lost, and until when nobody takes its place; in milliseconds. */
export interface LostHome {
  readonly from: number
  readonly until: number
}

export const NOTHING_LOST: LostHome = { from: Infinity, until: Infinity }

function lost (home: LostHome, at: number): boolean {
  return at >= home.from && at < home.until
}

/** Each entry counts its own equal part. */
export function equalSplit (limit: RateAndBurst, entries: number): LimitBaseline {
  const part = { rate: limit.rate / entries, burst: limit.burst / entries }
  const buckets = Array.from({ length: entries }, () => new PlainBucket(part))
  return { admit: (entry, at) => (buckets[entry] as PlainBucket).take(at) }
}

/** One counter for all; it refuses everything while it is lost. The successor starts empty. */
export function oneCounter (limit: RateAndBurst, home: LostHome): LimitBaseline {
  const before = new PlainBucket(limit)
  const after = new PlainBucket({ rate: limit.rate, burst: limit.burst })
  let emptied = false
  const emptyAfter = (): void => {
    for (let token = 0; token < limit.burst; token += 1) after.take(home.until)
    emptied = true
  }
  return {
    admit: (_entry, at) => {
      if (at < home.from) return before.take(at)
      if (lost(home, at)) return false
      if (!emptied) emptyAfter()
      return after.take(at)
    }
  }
}

/** Three homes with a third of rate and burst each, in whole tokens; the one of the entry's zone is asked first. */
export function threeHomes (limit: RateAndBurst, home: LostHome): LimitBaseline {
  const burst = (index: number): number => Math.floor(limit.burst / 3) + (index < limit.burst % 3 ? 1 : 0)
  const count = Math.min(3, limit.burst)
  const homes = Array.from({ length: count }, (_, index) => new PlainBucket({ rate: limit.rate / count, burst: burst(index) }))
  return {
    admit: (entry, at) => {
      for (let step = 0; step < count; step += 1) {
        const index = (entry + step) % count
        if (index === 0 && lost(home, at)) continue
        if ((homes[index] as PlainBucket).take(at)) return true
      }
      return false
    }
  }
}
