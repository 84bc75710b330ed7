import type { RateAndBurst } from './limit-arrivals.ts'

/** A way to share a rate that is compared with the product's; without delays. */
export interface LimitBaseline {
  /** Whether a request at an entry is admitted at a time in milliseconds. */
  admit (entry: number, atMilliseconds: number): boolean
}

class TokenBucket {
  private level: number
  private updatedAt = 0

  constructor (private readonly limit: RateAndBurst) {
    this.level = limit.burst
  }

  take (at: number): boolean {
    this.level = Math.min(this.limit.burst, this.level + (at - this.updatedAt) * this.limit.rate / 1000)
    this.updatedAt = at
    if (this.level < 1) return false
    this.level -= 1
    return true
  }
}

/** When the first home is lost, and until when nobody takes its place; in milliseconds. */
export interface HomeOutage {
  readonly from: number
  readonly until: number
}

export const NO_OUTAGE: HomeOutage = { from: Infinity, until: Infinity }

function lost (home: HomeOutage, at: number): boolean {
  return at >= home.from && at < home.until
}

/** Each entry counts its own equal part. */
export function equalSplit (limit: RateAndBurst, entries: number): LimitBaseline {
  const part = { rate: limit.rate / entries, burst: limit.burst / entries }
  const buckets = Array.from({ length: entries }, () => new TokenBucket(part))
  return { admit: (entry, at) => (buckets[entry] as TokenBucket).take(at) }
}

/** One counter for all; it refuses everything while it is lost. The successor starts empty. */
export function oneCounter (limit: RateAndBurst, outage: HomeOutage): LimitBaseline {
  const original = new TokenBucket(limit)
  const successor = new TokenBucket({ rate: limit.rate, burst: limit.burst })
  let successorDrained = false
  const drainSuccessor = (): void => {
    for (let token = 0; token < limit.burst; token += 1) successor.take(outage.until)
    successorDrained = true
  }
  return {
    admit: (_entry, at) => {
      if (at < outage.from) return original.take(at)
      if (lost(outage, at)) return false
      if (!successorDrained) drainSuccessor()
      return successor.take(at)
    }
  }
}

/** Three homes with a third of rate and burst each, in whole tokens; the one of the entry's zone is asked first. */
export function threeHomes (limit: RateAndBurst, outage: HomeOutage): LimitBaseline {
  const burst = (index: number): number => Math.floor(limit.burst / 3) + (index < limit.burst % 3 ? 1 : 0)
  const count = Math.min(3, limit.burst)
  const homes = Array.from({ length: count }, (_, index) => new TokenBucket({ rate: limit.rate / count, burst: burst(index) }))
  return {
    admit: (entry, at) => {
      for (let step = 0; step < count; step += 1) {
        const index = (entry + step) % count
        if (index === 0 && lost(outage, at)) continue
        if ((homes[index] as TokenBucket).take(at)) return true
      }
      return false
    }
  }
}
