/** The costs of a pool's requests by route, and by size of the body and by customer where these tell more than the route. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { COST_HALF_LIFE_MILLISECONDS, CostDistribution } from './cost-distribution.ts'
import { DecayedSlope } from './decayed-slope.ts'

/** The estimated cost of one request: the distribution of its group, scaled for its customer. */
export class CostEstimate {
  private constructor (private readonly distribution: CostDistribution, readonly scale: number) {}

  static create (distribution: CostDistribution, scale: number): CostEstimate {
    return new CostEstimate(distribution, scale)
  }

  get mean (): number {
    return this.scale * this.distribution.mean
  }

  /** Mean of the natural logarithm of the cost. */
  get meanLogarithm (): number {
    return Math.log(this.scale) + this.distribution.meanLogarithm
  }

  /** The cost that this share of such requests does not exceed. */
  quantile (share: number): number {
    return this.scale * this.distribution.quantile(share)
  }

  /** Probability that the request costs more than this. */
  shareAbove (milliseconds: number): number {
    return this.distribution.shareAbove(milliseconds / this.scale)
  }

  /** Work that is still expected after the request has taken this long. */
  remainder (elapsedMilliseconds: number): number {
    return this.scale * this.distribution.remainder(elapsedMilliseconds / this.scale)
  }
}

/** What is learned of the requests of one route. */
interface RouteCosts {
  readonly all: CostDistribution
  readonly bySize: Map<number, CostDistribution>
  readonly byCustomer: Map<string, CustomerCosts>
}

/** Costs of one customer, as ratios to what is expected of the route and size, and their squares. */
interface CustomerCosts {
  readonly ratio: DecayedSlope
  readonly square: DecayedSlope
  /** How much more they cost as of `scaledAt`; kept, as it is read for every request. */
  scale: number
  scaledAt: number
}

/** What an operator sees of the learned costs. */
export interface RouteCostSummary {
  readonly route: string
  readonly meanMilliseconds: number
  readonly highMilliseconds: number
  /** Number of recent requests that this is worth. */
  readonly weight: number
}

/** A group is used from this many requests on: the first ones to end are the quickest, as all others take longer. */
const MINIMUM_REQUESTS = 20
/** Once known, a group is used until so few recent requests are left. */
const MINIMUM_WEIGHT = 4
/** A narrower group is used where its mean differs by this many standard errors and by this share. */
const MINIMUM_STANDARD_ERRORS = 3
const MINIMUM_DIFFERENCE = 0.15
/** Bounds of a customer's ratio, so that one request of many times the usual cost says little about the others. */
const MAXIMUM_RATIO = 8
const HIGH_SHARE = 0.95
const SCALE_CACHE_MILLISECONDS = 200

/** Costs of one pool. */
export class RequestCosts {
  private readonly all = CostDistribution.create()
  private readonly routes = new Map<string, RouteCosts>()
  private readonly priorities = new Map<number, DecayedSlope>()
  /** The latest result of `estimate`, as one placement asks for it several times. */
  private latest: { question: PlacementQuestion, now: number, estimate: CostEstimate | undefined } | undefined

  static create (): RequestCosts {
    return new RequestCosts()
  }

  /** Records a request that was answered completely and successfully. */
  record (question: PlacementQuestion, milliseconds: number, now: number): void {
    const route = this.routeOf(question.route)
    const expected = this.groupOf(route, question, now)?.mean
    if (expected !== undefined && question.customer !== '') recordRatio(route, question.customer, milliseconds / expected, now)
    const size = sizeClassOf(question)
    if (size !== undefined) findOrCreate(route.bySize, size, () => CostDistribution.create()).record(milliseconds, now)
    route.all.record(milliseconds, now)
    this.all.record(milliseconds, now)
    findOrCreate(this.priorities, question.priority, () => DecayedSlope.create(COST_HALF_LIFE_MILLISECONDS)).record(1, milliseconds, now)
    this.latest = undefined
  }

  /** The estimate of the narrowest group that is known and tells more than the wider one; undefined while nothing is known. */
  estimate (question: PlacementQuestion, now: number): CostEstimate | undefined {
    if (this.latest?.question === question && this.latest.now === now) return this.latest.estimate
    const route = this.routes.get(question.route)
    const group = route === undefined ? this.known(this.all, now) : this.groupOf(route, question, now)
    const estimate = group === undefined ? undefined : CostEstimate.create(group, customerScale(route, question.customer, now))
    this.latest = { question, now, estimate }
    return estimate
  }

  /** The mean over all requests; undefined while it is unknown. */
  meanMilliseconds (now: number): number | undefined {
    return this.known(this.all, now)?.mean
  }

  /** The mean over requests of this priority or a more urgent one. */
  meanUpTo (priority: number, now: number): number {
    let weight = 0
    let sum = 0
    for (const [other, costs] of this.priorities) {
      if (other > priority) continue
      const part = costs.weight(now)
      weight += part
      sum += part * costs.value(now, 0, 0)
    }
    return weight === 0 ? this.all.mean : sum / weight
  }

  /** The routes whose costs are known. */
  summaries (now: number): RouteCostSummary[] {
    const known = [...this.routes].filter(([, { all }]) => this.known(all, now) !== undefined)
    return known.map(([route, { all }]) => ({
      route, meanMilliseconds: all.mean, highMilliseconds: all.quantile(HIGH_SHARE), weight: all.weight(now)
    }))
  }

  private groupOf (route: RouteCosts, question: PlacementQuestion, now: number): CostDistribution | undefined {
    const wide = this.known(route.all, now)
    if (wide === undefined) return this.known(this.all, now)
    const size = sizeClassOf(question)
    const narrow = size === undefined ? undefined : this.known(route.bySize.get(size), now)
    return narrow !== undefined && tellsMore(narrow.mean / wide.mean, narrow.variance / wide.mean ** 2, narrow.weight(now)) ? narrow : wide
  }

  private known (distribution: CostDistribution | undefined, now: number): CostDistribution | undefined {
    if (distribution === undefined || distribution.total < MINIMUM_REQUESTS || distribution.weight(now) < MINIMUM_WEIGHT) return undefined
    return distribution
  }

  private routeOf (name: string): RouteCosts {
    return findOrCreate(this.routes, name, () => ({ all: CostDistribution.create(), bySize: new Map(), byCustomer: new Map() }))
  }
}

/** The power of two of the body's size; undefined where the size is unknown. */
function sizeClassOf ({ bodyBytes }: PlacementQuestion): number | undefined {
  return bodyBytes === undefined ? undefined : Math.ceil(Math.log2(bodyBytes + 1))
}

function recordRatio ({ byCustomer }: RouteCosts, customer: string, ratio: number, now: number): void {
  const costs = findOrCreate(byCustomer, customer, () => ({
    ratio: DecayedSlope.create(COST_HALF_LIFE_MILLISECONDS), square: DecayedSlope.create(COST_HALF_LIFE_MILLISECONDS), scale: 1, scaledAt: -Infinity
  }))
  const bounded = Math.min(MAXIMUM_RATIO, ratio)
  costs.ratio.record(1, bounded, now)
  costs.square.record(1, bounded * bounded, now)
}

/** How much more the customer's requests cost than others of the same route and size; 1 where that is not certain. */
function customerScale (route: RouteCosts | undefined, customer: string, now: number): number {
  const costs = route?.byCustomer.get(customer)
  if (costs === undefined) return 1
  if (now - costs.scaledAt >= SCALE_CACHE_MILLISECONDS) {
    costs.scale = computeScale(costs, now)
    costs.scaledAt = now
  }
  return costs.scale
}

function computeScale (costs: CustomerCosts, now: number): number {
  const weight = costs.ratio.weight(now)
  if (weight < MINIMUM_REQUESTS) return 1
  const ratio = costs.ratio.value(now, 0, 0)
  const variance = Math.max(0, costs.square.value(now, 0, 0) - ratio ** 2)
  return tellsMore(ratio, variance, weight) ? costs.ratio.value(now, 1, MINIMUM_REQUESTS) : 1
}

/** Whether a group's mean, relative to the wider group, differs by more than chance. */
function tellsMore (ratio: number, variance: number, weight: number): boolean {
  const difference = Math.abs(ratio - 1)
  return difference >= MINIMUM_DIFFERENCE && difference >= MINIMUM_STANDARD_ERRORS * Math.sqrt(variance / weight)
}

function findOrCreate<Key, Value> (map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const known = map.get(key)
  if (known !== undefined) return known
  const created = create()
  map.set(key, created)
  return created
}
