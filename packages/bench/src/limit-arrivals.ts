import { nextArrivalMilliseconds, pickOne, type RandomSource } from '@hickoryspoke/runtime/random'

/** Rate limit: requests per second and burst in requests. */
export interface RateAndBurst {
  readonly rate: number
  readonly burst: number
}

const OFFERED_SHARE = 0.8
const CLUSTER_SHARE = 0.5
const CLUSTER_INTERVALS = 8

/**
 * Arrivals of a customer that stays within its rate and burst: random arrivals and clusters of half a burst,
 * filtered by an exact token bucket, so that a perfect limiter without delay refuses none of them.
 */
export class ConformingArrivals {
  private level: number
  private nowMilliseconds: number
  private clusterRemaining = 0

  private constructor (private readonly limit: RateAndBurst, private readonly random: RandomSource, start: number) {
    this.level = limit.burst
    this.nowMilliseconds = start
  }

  static create (limit: RateAndBurst, random: RandomSource, startMilliseconds: number): ConformingArrivals {
    return new ConformingArrivals(limit, random, startMilliseconds)
  }

  /** Returns the time of the next request in milliseconds. */
  next (): number {
    do {
      const gap = this.clusterRemaining > 0 ? this.nextGapInCluster() : this.nextRandomGap()
      this.nowMilliseconds += gap
      this.level = Math.min(this.limit.burst, this.level + gap * this.limit.rate / 1000)
    } while (this.level < 1)
    this.level -= 1
    return this.nowMilliseconds
  }

  private nextGapInCluster (): number {
    this.clusterRemaining -= 1
    return this.random.next()
  }

  private nextRandomGap (): number {
    const gap = nextArrivalMilliseconds(this.random, this.limit.rate * OFFERED_SHARE)
    const clusterProbability = OFFERED_SHARE / (this.limit.burst * CLUSTER_INTERVALS)
    if (this.limit.burst > 1 && this.random.next() < clusterProbability) this.clusterRemaining = Math.floor(this.limit.burst * CLUSTER_SHARE)
    return gap
  }
}

/** Picks an entry at random. */
export function pickEntry (random: RandomSource, names: readonly string[]): string {
  return pickOne(random, names)
}
