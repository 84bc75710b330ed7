/** How long an upstream's responses take against what was expected of the requests, and how much longer while it is nearly full. */
import { DecayedSlope } from './decayed-slope.ts'

/** An observation counts half after this time. Pools have four responses a second of an upstream and more. */
const HALF_LIFE_MILLISECONDS = 8_000
/** An upstream without responses counts as usual; this is worth as many responses. */
const PRIOR_WEIGHT = 4
/** Worth, in responses to requests that ran on a nearly full upstream, of what is known of the pool. */
const SLOWDOWN_PRIOR_WEIGHT = 10
/** Logarithm of the slowdown that is assumed of a nearly full upstream while nothing is known. */
const INITIAL_SLOWDOWN = Math.log(1.1)
const MAXIMUM_SLOWDOWN = Math.log(8)
/** Bounds the logarithm of one response's ratio, so that one request of many times the usual work says little. */
const MAXIMUM_LOGARITHM = Math.log(4)
/** A response in less than this share of the usual time is rather a request that was not done (a client error) than a sign of speed. */
const MINIMUM_LOGARITHM = -Math.log(8)
/** Values are computed again after this time, as they are read for many placements. */
const CACHE_MILLISECONDS = 200

/** Slowdown of a pool's nearly full upstreams, from which those of single upstreams are estimated. */
export class PoolSlowdown {
  private readonly slope = DecayedSlope.create(HALF_LIFE_MILLISECONDS)

  static create (): PoolSlowdown {
    return new PoolSlowdown()
  }

  record (share: number, logarithm: number, now: number): void {
    this.slope.record(share, logarithm, now)
  }

  /** Natural logarithm of the slowdown. */
  logarithm (now: number): number {
    return this.slope.value(now, INITIAL_SLOWDOWN, SLOWDOWN_PRIOR_WEIGHT)
  }
}

/** Speed of one upstream. */
export class UpstreamSpeed {
  private readonly usual = DecayedSlope.create(HALF_LIFE_MILLISECONDS)
  private readonly nearlyFull = DecayedSlope.create(HALF_LIFE_MILLISECONDS)
  /** When the latest response came, in monotonic milliseconds; -Infinity for none. */
  answeredAt = -Infinity
  private cachedAt = -Infinity
  private usualLogarithm = 0
  private usualFactor = 1
  private slowdownLogarithm = INITIAL_SLOWDOWN

  private constructor (private readonly pool: PoolSlowdown) {}

  static create (pool: PoolSlowdown): UpstreamSpeed {
    return new UpstreamSpeed(pool)
  }

  /**
   * Records a complete, successful response. `logarithm` is that of its time minus the expected one; `fullShare` is the
   * share of its time in which the upstream was expected to be nearly full.
   */
  record (logarithm: number, fullShare: number, now: number): void {
    if (logarithm < MINIMUM_LOGARITHM) return
    const bounded = Math.min(MAXIMUM_LOGARITHM, logarithm)
    this.renew(now)
    const excess = bounded - this.usualLogarithm
    this.usual.record(1, bounded - this.slowdownLogarithm * fullShare, now)
    if (fullShare > 0) {
      this.nearlyFull.record(fullShare, excess, now)
      this.pool.record(fullShare, excess, now)
    }
    this.answeredAt = now
  }

  /** Time of a response relative to the expected one, where the upstream is nearly full for this share of it. */
  factor (fullShare: number, now: number): number {
    this.renew(now)
    return fullShare === 0 ? this.usualFactor : this.usualFactor * Math.exp(this.slowdownLogarithm * fullShare)
  }

  private renew (now: number): void {
    if (now - this.cachedAt < CACHE_MILLISECONDS) return
    this.usualLogarithm = this.usual.value(now, 0, PRIOR_WEIGHT)
    this.usualFactor = Math.exp(this.usualLogarithm)
    const slowdown = this.nearlyFull.value(now, this.pool.logarithm(now), SLOWDOWN_PRIOR_WEIGHT)
    this.slowdownLogarithm = Math.min(MAXIMUM_SLOWDOWN, Math.max(0, slowdown))
    this.cachedAt = now
  }
}
