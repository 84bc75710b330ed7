/** The cost of placing a request on an upstream, by when it is expected to finish there. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { ChoiceConstraints } from './pool-dispatcher.ts'
import type { PoolOutlook } from './pool-outlook.ts'
import type { CostEstimate } from './request-costs.ts'
import { PREFERRED_UTILIZATION } from './residual-work.ts'
import type { Candidate } from './upstream-choice.ts'

/** The request for which the upstreams of a pool are compared. */
export interface FinishQuestion {
  /** Undefined while its cost is not estimated. */
  readonly estimate: CostEstimate | undefined
  readonly outlook: PoolOutlook | undefined
  readonly question: PlacementQuestion
  readonly terms: ChoiceConstraints
  /** Availability zone of the entry that asks. */
  readonly zone: string
  /** Number of requests that wait in the pool. */
  readonly waiting: number
  readonly now: number
}

/** The same where its cost is estimated. */
type EstimatedQuestion = FinishQuestion & { readonly estimate: CostEstimate, readonly outlook: PoolOutlook }

// Costs are relative to the cost of a lost request, which is 1. Unlike those in `upstream-choice.ts`, they are weighed against the
// expected loss by late answers, so the constants for the same matters differ.

/** A response after the target loses this part of its value. */
const LATE_LOSS = 0.45
/** A response after the deadline loses the rest as well. */
const UNANSWERED_LOSS = 1 - LATE_LOSS
/** Cost of the pool's mean time at an upstream: its slot is not free for others. It grows with the square of the share of the slots that are taken. */
const TIME_COST = 0.1
const BUSY_TIME_COST = 0.3
/** Part of a nearly full upstream's slowdown by which each request that runs there takes longer as well. */
const SHARED_SLOWDOWN = 0.5
/** Bytes between zones are charged. Less than what a risk of 0.13 of a late answer costs. */
const OTHER_ZONE_FINISH_COST = 0.06
/** The fewer upstreams are in use, the fewer failures requests meet; not for upstreams that are nearly full. */
const FINISH_UTILIZATION_BONUS = 0.01
/** Gain of learning the speed of an upstream without recent responses. */
const EXPLORATION_BONUS = 0.03
/** An upstream without responses for this time is tried with a request that may be repeated. */
const UNKNOWN_MILLISECONDS = 4_000
/** A slow upstream must be worse than the expected wait by this, as the wait may be longer than expected. */
const WAITING_MARGIN = 0.2
/** A request does not wait for a faster upstream for longer than this many times the expected wait. */
const MAXIMUM_WAIT_FACTOR = 10

/** Weighs the upstreams of a pool for one request. */
export class ExpectedFinish {
  /** Cost of a time as long as the mean cost of the request. */
  private readonly timeCost: number
  private readonly meanMilliseconds: number
  /** Undefined until it is needed. */
  private cachedWaitingCost: number | undefined
  /** Whether the request may be used to learn the speed of an upstream that may fail. */
  private readonly mayExplore: boolean

  private constructor (private readonly asked: EstimatedQuestion) {
    const { estimate, outlook, question, terms } = asked
    this.meanMilliseconds = estimate.mean
    this.timeCost = (TIME_COST + BUSY_TIME_COST * outlook.takenShare ** 2) * this.meanMilliseconds / outlook.meanMilliseconds
    this.mayExplore = terms.mayProbe && question.attempt === 0
  }

  static create (asked: EstimatedQuestion): ExpectedFinish {
    return new ExpectedFinish(asked)
  }

  /**
   * The cost of an upstream, in place of costs by its utilization, mean slowness and zone; undefined where it is better to
   * wait for another one. Where it is not below `limit`, a lower bound is returned, which costs less to compute.
   */
  costOf ({ upstream, standing, work }: Candidate, limit: number): number | undefined {
    const { zone, now } = this.asked
    const slots = Math.max(1, upstream.announced.slots)
    const inFlight = standing.inFlight + 1
    const isNearlyFull = inFlight > PREFERRED_UTILIZATION * slots
    const usual = work.speed.factor(0, now)
    const zoneCost = upstream.announced.zone === zone ? 0 : OTHER_ZONE_FINISH_COST
    const isUnknown = this.mayExplore && standing.inFlight === 0 && now - work.speed.answeredAt >= UNKNOWN_MILLISECONDS
    const bonus = (isNearlyFull ? 0 : FINISH_UTILIZATION_BONUS * inFlight / slots) + (isUnknown ? EXPLORATION_BONUS : 0)
    const leastCost = this.timeCost * (usual - 1) + zoneCost - bonus
    if (leastCost >= limit) return leastCost
    const factor = isNearlyFull ? work.speed.factor(work.fullShare(inFlight, slots, this.meanMilliseconds, now), now) : usual
    const slowdownOfOthers = SHARED_SLOWDOWN * (factor / usual - 1) * standing.inFlight
    const cost = this.lossOf(factor, 0) + this.timeCost * (factor - 1 + slowdownOfOthers) + zoneCost
    return factor > 1 && cost > this.waitingCost ? undefined : cost - bonus
  }

  /** Cost of waiting for an upstream of usual speed, with a margin; Infinity where the request should not wait for one. */
  private get waitingCost (): number {
    this.cachedWaitingCost ??= this.computeWaitingCost()
    return this.cachedWaitingCost
  }

  private computeWaitingCost (): number {
    const { outlook, question, terms, waiting } = this.asked
    // A request that may not use all upstreams may have no faster one to wait for.
    if (question.excluded.length > 0) return Infinity
    const waited = question.targetMilliseconds - terms.targetLeftMilliseconds
    const wait = outlook.waitMilliseconds(waiting * outlook.meanMilliseconds)
    if (waited > MAXIMUM_WAIT_FACTOR * wait) return Infinity
    return this.lossOf(1, wait) + this.timeCost * wait / this.meanMilliseconds + WAITING_MARGIN
  }

  /** Expected loss of an answer from an upstream whose times are `factor` times the expected ones, after a wait. */
  private lossOf (factor: number, waitMilliseconds: number): number {
    const { estimate, terms: { targetLeftMilliseconds, patienceLeftMilliseconds } } = this.asked
    return LATE_LOSS * estimate.shareAbove((targetLeftMilliseconds - waitMilliseconds) / factor) +
      UNANSWERED_LOSS * estimate.shareAbove((patienceLeftMilliseconds - waitMilliseconds) / factor)
  }
}

/** Weighs upstreams by the expected end of a request; undefined where its cost is not estimated. */
export function expectedFinishOf (asked: FinishQuestion): ExpectedFinish | undefined {
  return isEstimated(asked) ? ExpectedFinish.create(asked) : undefined
}

function isEstimated (asked: FinishQuestion): asked is EstimatedQuestion {
  return asked.estimate !== undefined && asked.outlook !== undefined
}
