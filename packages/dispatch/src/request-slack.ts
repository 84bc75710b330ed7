/** How long a request may wait for an upstream, given how long requests like it take. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { PoolDispatcher } from './pool-dispatcher.ts'

/** Times the usual duration that a request is given at its upstream. */
const NEEDED_FACTOR = 1.3
/** A request that can no longer be answered in time waits on while it has this many times the usual duration left. */
const NEEDED_LATE_FACTOR = 2

/** Milliseconds that the request may wait and still be answered in time. */
export function slackOf (question: PlacementQuestion, pool: PoolDispatcher): number {
  const longest = Math.min(question.targetMilliseconds, question.patienceMilliseconds)
  return longest - NEEDED_FACTOR * pool.usualMilliseconds(question)
}

/** Milliseconds that the request may wait and still be answered. */
export function lateSlackOf (question: PlacementQuestion, pool: PoolDispatcher): number {
  return question.patienceMilliseconds - NEEDED_LATE_FACTOR * pool.usualMilliseconds(question)
}
