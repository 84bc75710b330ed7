import type { RateAndBurst } from './limit-arrivals.ts'

/** A simple way to enforce a rate across entries, without network delay, for comparison. */
export interface LimitBaseline {
  /** Returns whether a request that reaches an entry at the given time is admitted. */
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

/** Period in which the first counter is lost and has no successor yet, in milliseconds. */
export interface CounterOutage {
  readonly from: number
  readonly until: number
}

export const NO_OUTAGE: CounterOutage = { from: Infinity, until: Infinity }

function lost (outage: CounterOutage, at: number): boolean {
  return at >= outage.from && at < outage.until
}

/** Each entry enforces an equal part of rate and burst on its own. */
export function equalSplit (limit: RateAndBurst, entries: number): LimitBaseline {
  const part = { rate: limit.rate / entries, burst: limit.burst / entries }
  const buckets = Array.from({ length: entries }, () => new TokenBucket(part))
  return { admit: (entry, at) => (buckets[entry] as TokenBucket).take(at) }
}

/** A single counter for the fleet. All requests are refused while it is lost, and its successor starts without tokens. */
export function oneCounter (limit: RateAndBurst, outage: CounterOutage): LimitBaseline {
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

/**
 * Three counters with a third of rate and burst each, the burst in whole tokens.
 * An entry asks the counter of its zone first and then the others.
 */
export function threeCounters (limit: RateAndBurst, outage: CounterOutage): LimitBaseline {
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
