/** What a pool's dispatcher learns of the costs of requests and the work of upstreams, while the policy asks for it. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { PolicySource } from './dispatch-policy.ts'
import { RequestCosts, type CostEstimate, type RouteCostSummary } from './request-costs.ts'
import type { RunningWork } from './residual-work.ts'
import { PoolSlowdown } from './upstream-speed.ts'
import { UpstreamWork } from './upstream-work.ts'

/** A running request and its upstream. */
export interface StartedWork {
  readonly question: PlacementQuestion
  readonly upstream: UpstreamWork
  /** Undefined if nothing was known of its cost when it was placed. */
  readonly running: RunningWork | undefined
}

/** What an operator sees of a pool. */
export interface PoolCostSummary {
  readonly pool: string
  readonly routes: readonly RouteCostSummary[]
  /** Response time of the fastest and of the slowest upstream, divided by the expected one; 1 while no upstream is known. */
  readonly fastest: number
  readonly slowest: number
}

/** Costs of one pool's requests. */
export class PoolCosts {
  private readonly requests = RequestCosts.create()
  private readonly slowdown = PoolSlowdown.create()
  private readonly upstreams = new Map<string, UpstreamWork>()

  private constructor (private readonly policy: PolicySource) {}

  static create (policy: PolicySource): PoolCosts {
    return new PoolCosts(policy)
  }

  get isEnabled (): boolean {
    return this.policy().expectedCost
  }

  /** The estimated cost of a request; undefined without the policy or while nothing is known. */
  estimate (question: PlacementQuestion, now: number): CostEstimate | undefined {
    return this.isEnabled ? this.requests.estimate(question, now) : undefined
  }

  /** The mean cost over all requests; undefined without the policy or while it is unknown. */
  meanMilliseconds (now: number): number | undefined {
    return this.isEnabled ? this.requests.meanMilliseconds(now) : undefined
  }

  /** The mean cost of requests with this priority or a more urgent one. Only where the mean over all is known. */
  meanUpTo (priority: number, now: number): number {
    return this.requests.meanUpTo(priority, now)
  }

  /** The tracked state of an upstream, created on first use. */
  upstream (instance: string): UpstreamWork {
    const known = this.upstreams.get(instance)
    if (known !== undefined) return known
    const created = UpstreamWork.create(this.slowdown)
    this.upstreams.set(instance, created)
    return created
  }

  /** Forgets an upstream that has left. */
  forget (instance: string): void {
    this.upstreams.delete(instance)
  }

  /** Tracks a request that is placed; `inFlight` counts it. */
  start (question: PlacementQuestion, instance: string, inFlight: number, slots: number, now: number): StartedWork | undefined {
    if (!this.isEnabled) return undefined
    const upstream = this.upstream(instance)
    const estimate = this.requests.estimate(question, now)
    if (estimate === undefined) return { question, upstream, running: undefined }
    const running: RunningWork = { estimate, placedAt: now, fullShare: upstream.fullShare(inFlight, slots, estimate.mean, now) }
    upstream.residual.start(running)
    return { question, upstream, running }
  }

  /** Stops tracking a request that has ended. */
  end ({ upstream, running }: StartedWork): void {
    if (running !== undefined) upstream.residual.end(running)
  }

  /** Learns from a complete, successful response. */
  learn ({ question, upstream, running }: StartedWork, milliseconds: number, now: number): void {
    if (running !== undefined) upstream.learn(running, milliseconds, now)
    this.requests.record(question, milliseconds, now)
  }

  /** What is known, for logs and metrics; undefined without the policy. */
  summary (pool: string, now: number): PoolCostSummary | undefined {
    if (!this.isEnabled) return undefined
    const factors = [...this.upstreams.values()].map(({ speed }) => speed.factor(0, now))
    const known = factors.length === 0 ? [1] : factors
    return { pool, routes: this.requests.summaries(now), fastest: Math.min(...known), slowest: Math.max(...known) }
  }
}
