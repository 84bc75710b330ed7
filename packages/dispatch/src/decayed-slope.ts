/** The slope of one quantity over another, from observations that lose weight with time. With a constant 1 as the other, it is a mean. */

/** Sums of the products of the observations. */
export class DecayedSlope {
  private products = 0
  private squares = 0
  private at = 0

  private constructor (private readonly meanLifeMilliseconds: number) {}

  /** An observation counts half after the half-life. */
  static create (halfLifeMilliseconds: number): DecayedSlope {
    return new DecayedSlope(halfLifeMilliseconds / Math.LN2)
  }

  /** Records an observation; `now` in monotonic milliseconds. */
  record (x: number, y: number, now: number): void {
    const decay = this.decayAt(now)
    this.products = this.products * decay + x * y
    this.squares = this.squares * decay + x * x
    this.at = now
  }

  /** Weight of all observations: their number if all are recent and `x` is 1. */
  weight (now: number): number {
    return this.squares * this.decayAt(now)
  }

  /** The slope, with a prior that counts as much as this many recent observations. */
  value (now: number, prior: number, priorWeight: number): number {
    const decay = this.decayAt(now)
    return (this.products * decay + prior * priorWeight) / Math.max(Number.MIN_VALUE, this.squares * decay + priorWeight)
  }

  private decayAt (now: number): number {
    return now <= this.at ? 1 : Math.exp((this.at - now) / this.meanLifeMilliseconds)
  }
}
