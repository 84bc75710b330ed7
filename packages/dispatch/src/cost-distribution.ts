/** A distribution of request costs in milliseconds: a histogram over logarithmic classes whose observations lose weight with time. */

const CLASSES_PER_DOUBLING = 4
/** The last class holds everything from 2 to the power of 17.75 milliseconds (220 s) on. */
const CLASSES = 72
/** An observation counts half after this time, in groups with few requests. */
export const COST_HALF_LIFE_MILLISECONDS = 15_000
/** An observation also counts half after so many others, so that a busy group follows a change of the load within a few seconds. */
const HALF_LIFE_OBSERVATIONS = 300
/** Weights grow with time in place of shrinking the older ones; from this exponent on, all are scaled down. */
const MAXIMUM_EXPONENT = 40
/** The sums are brought up to date after this share of new observations. */
const REFRESH_SHARE = 1 / 20
const MAXIMUM_UNSUMMED = 16
/** Weight, as a share of all, of the assumption that a request runs on for half of the time that it has run. It decides beyond all observations. */
const TAIL_SHARE = 0.001
const TAIL_REMAINDER = 0.5
/** Lower bounds of the classes, and the upper bound of the last one. */
const EDGES = Float64Array.from({ length: CLASSES + 1 }, (_, index) => index === 0 ? 0 : 2 ** (index / CLASSES_PER_DOUBLING))

/** Costs of one group of requests. */
export class CostDistribution {
  private readonly weights = new Float64Array(CLASSES)
  private readonly sums = new Float64Array(CLASSES)
  /** Sums of the weights and costs of this class and all above. */
  private readonly weightsFrom = new Float64Array(CLASSES + 1)
  private readonly sumsFrom = new Float64Array(CLASSES + 1)
  private squares = 0
  private logarithms = 0
  private recorded = 0
  /** The latest result of `quantile`, which is called with the same share for many requests. */
  private latestShare = Number.NaN
  private latestQuantile = 0
  /** Observations since the sums were brought up to date. */
  private unsummed = 0
  /** Natural logarithm of the weight of an observation that is made now, as of `grownAt`. */
  private exponent = 0
  private grownAt = -Infinity

  static create (): CostDistribution {
    return new CostDistribution()
  }

  /** Records the cost of a request. */
  record (milliseconds: number, now: number): void {
    const cost = Math.max(1, milliseconds)
    const weight = this.growWeight(now)
    const index = classOf(cost)
    this.weights[index] = this.weights[index] as number + weight
    this.sums[index] = this.sums[index] as number + weight * cost
    this.squares += weight * cost * cost
    this.logarithms += weight * Math.log(cost)
    this.recorded += 1
    this.unsummed += 1
    if (this.unsummed >= Math.min(MAXIMUM_UNSUMMED, this.recorded * REFRESH_SHARE)) this.refresh()
  }

  /** Number of requests that were recorded at any time. */
  get total (): number {
    return this.recorded
  }

  /** Number of recent requests that the distribution is worth. */
  weight (now: number): number {
    return this.recorded === 0 ? 0 : this.weightAll * Math.exp(-this.exponentAt(now))
  }

  get mean (): number {
    return this.sumsFrom[0] as number / this.weightAll
  }

  get variance (): number {
    return Math.max(0, this.squares / this.weightAll - this.mean ** 2)
  }

  /** Mean of the natural logarithm of the cost. */
  get meanLogarithm (): number {
    return this.logarithms / this.weightAll
  }

  /** The cost that this share of the requests does not exceed. */
  quantile (share: number): number {
    if (this.latestShare !== share) {
      this.latestQuantile = this.computeQuantile(share)
      this.latestShare = share
    }
    return this.latestQuantile
  }

  /** Share of the requests that cost more than this. */
  shareAbove (milliseconds: number): number {
    if (milliseconds <= 1) return 1
    const index = classOf(milliseconds)
    return this.weightAbove(index, milliseconds) / this.weightAll
  }

  /** Work that is still expected of a request that has already taken this long. */
  remainder (elapsedMilliseconds: number): number {
    const elapsed = Math.max(1, elapsedMilliseconds)
    const index = classOf(elapsed)
    const inside = this.weightAbove(index, elapsed) - (this.weightsFrom[index + 1] as number)
    const sum = this.sumsFrom[index + 1] as number + inside * (elapsed + (EDGES[index + 1] as number)) / 2
    const tail = TAIL_SHARE * this.weightAll
    const expected = (sum + tail * elapsed * (1 + TAIL_REMAINDER)) / (inside + (this.weightsFrom[index + 1] as number) + tail)
    return Math.max(0, expected - elapsed)
  }

  private computeQuantile (share: number): number {
    const above = (1 - share) * this.weightAll
    let index = CLASSES - 1
    while (index > 0 && this.weightsFrom[index] as number <= above) index -= 1
    const weight = this.weightsFrom[index] as number - (this.weightsFrom[index + 1] as number)
    if (weight <= 0) return EDGES[index] as number
    const part = Math.min(1, Math.max(0, (this.weightsFrom[index] as number - above) / weight))
    return lowerEdge(index) + part * (EDGES[index + 1] as number - lowerEdge(index))
  }

  private get weightAll (): number {
    return this.weightsFrom[0] as number
  }

  /** Weight above a cost within this class. */
  private weightAbove (index: number, milliseconds: number): number {
    const upper = EDGES[index + 1] as number
    const part = Math.max(0, (upper - milliseconds) / (upper - lowerEdge(index)))
    return this.weightsFrom[index + 1] as number + part * (this.weights[index] as number)
  }

  private refresh (): void {
    for (let index = CLASSES - 1; index >= 0; index -= 1) {
      this.weightsFrom[index] = this.weightsFrom[index + 1] as number + (this.weights[index] as number)
      this.sumsFrom[index] = this.sumsFrom[index + 1] as number + (this.sums[index] as number)
    }
    this.unsummed = 0
    this.latestShare = Number.NaN
  }

  private exponentAt (now: number): number {
    return this.exponent + Math.max(0, now - this.grownAt) * Math.LN2 / COST_HALF_LIFE_MILLISECONDS
  }

  /** Returns the weight of a new observation. */
  private growWeight (now: number): number {
    if (this.recorded > 0) this.exponent = this.exponentAt(now) + Math.LN2 / HALF_LIFE_OBSERVATIONS
    this.grownAt = now
    if (this.exponent >= MAXIMUM_EXPONENT) this.scaleDown()
    return Math.exp(this.exponent)
  }

  /** Scales all weights down, before they become too large numbers. */
  private scaleDown (): void {
    const factor = Math.exp(-this.exponent)
    this.weights.forEach((weight, index) => { this.weights[index] = weight * factor })
    this.sums.forEach((sum, index) => { this.sums[index] = sum * factor })
    this.squares *= factor
    this.logarithms *= factor
    this.exponent = 0
    this.refresh()
  }
}

function classOf (milliseconds: number): number {
  if (milliseconds <= 1) return 0
  return Math.min(CLASSES - 1, Math.floor(Math.log2(milliseconds) * CLASSES_PER_DOUBLING))
}

/** Costs below 1 ms are recorded as 1 ms, so the first class begins there. */
function lowerEdge (index: number): number {
  return index === 0 ? 1 : EDGES[index] as number
}
