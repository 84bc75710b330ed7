/** How long a request may wait for an upstream, given how long requests like it take. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { FleetRetryBudget } from './fleet-retry-budget.ts'
import type { ChoiceConstraints, PoolDispatcher } from './pool-dispatcher.ts'

/** Share of requests like it for which the time that is reserved for an estimated request is enough, where there is so much time. */
const RESERVED_SHARE = 0.92
/** At most this part of the time is reserved, so a request with a tight target gets a lower quantile: with all of it, it would be late at once. */
const MAXIMUM_RESERVED_PART = 0.8
/** Time reserved for a request at its upstream, as a multiple of the usual duration. */
const SERVICE_TIME_FACTOR = 1.3
/** The same for a request that can only be answered late; it stops waiting when less than this is left. */
const LATE_SERVICE_TIME_FACTOR = 2

/** How long the request may wait and still be answered in time, in milliseconds; negative when it cannot. */
export function slackOf (question: PlacementQuestion, pool: PoolDispatcher): number {
  const longest = Math.min(question.targetMilliseconds, question.patienceMilliseconds)
  return longest - (reservedMilliseconds(question, pool, longest) ?? SERVICE_TIME_FACTOR * pool.usualMilliseconds(question))
}

/** How long the request may wait and still be answered before its deadline, in milliseconds; negative when it cannot. */
export function lateSlackOf (question: PlacementQuestion, pool: PoolDispatcher): number {
  const { patienceMilliseconds } = question
  return patienceMilliseconds - (reservedMilliseconds(question, pool, patienceMilliseconds) ?? LATE_SERVICE_TIME_FACTOR * pool.usualMilliseconds(question))
}

/** Time reserved for a request that should be answered within `available`; undefined while its cost is not estimated. */
function reservedMilliseconds (question: PlacementQuestion, pool: PoolDispatcher, available: number): number | undefined {
  const estimate = pool.estimate(question)
  return estimate === undefined ? undefined : Math.min(MAXIMUM_RESERVED_PART * available, estimate.quantile(RESERVED_SHARE))
}

/** Constraints on the upstream of a request that has waited for some time. A request probes suspect upstreams only if its retry would be permitted. */
export function constraintsOf (
  question: PlacementQuestion, pool: PoolDispatcher, budget: FleetRetryBudget, waitedMilliseconds: number, now: number
): ChoiceConstraints {
  return {
    mayProbe: question.mayRepeat && budget.allowsRetry(now),
    slackMilliseconds: slackOf(question, pool) - waitedMilliseconds,
    lateSlackMilliseconds: lateSlackOf(question, pool) - waitedMilliseconds,
    targetLeftMilliseconds: question.targetMilliseconds - waitedMilliseconds,
    patienceLeftMilliseconds: question.patienceMilliseconds - waitedMilliseconds
  }
}
