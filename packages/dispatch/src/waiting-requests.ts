/** The requests of all pools that wait for an upstream, until they are placed, cancelled, or can no longer be answered. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Deadlines } from './deadlines.ts'
import type { EntryConnection } from './entry-connection.ts'
import type { FairAdmission } from './fair-admission.ts'
import { placementKey } from './placements.ts'
import type { ChoiceConstraints, PoolDispatcher } from './pool-dispatcher.ts'
import type { PoolSet } from './pool-set.ts'
import { constraintsOf, lateSlackOf, slackOf } from './request-slack.ts'
import type { UpstreamChoice } from './upstream-choice.ts'
import type { WaitingQuestion } from './waiting-queue.ts'

/** Notified of how waits end. */
export interface WaitingRequestsListener {
  placed (connection: EntryConnection, question: PlacementQuestion, choice: UpstreamChoice): void
  /** It is too late to answer the request, which waited for some time; callers may come again after this time. Both in milliseconds. */
  expired (connection: EntryConnection, question: PlacementQuestion, retryAfter: number, waited: number): void
}

/** What is kept of a waiting request. Times are monotonic milliseconds. */
interface Wait extends WaitingQuestion {
  readonly requester: EntryConnection
  readonly key: string
  /** From when on it can no longer be answered in time. */
  readonly lateAt: number
  /** From when on it can no longer be answered at all. */
  readonly givenUpAt: number
  /** The wait that was expected when it began, in milliseconds. */
  readonly expected: number
}

/** Waiting requests by key, which combines entry and ticket. */
export class WaitingRequests {
  private readonly waiting = new Map<string, Wait>()
  /** When each becomes late or is given up. */
  private readonly deadlines: Deadlines<Wait>

  private constructor (
    private readonly clock: Clock, private readonly pools: PoolSet, private readonly fair: FairAdmission, private readonly listener: WaitingRequestsListener
  ) {
    this.deadlines = Deadlines.create(clock, (wait) => this.handleDeadline(wait))
  }

  static create (clock: Clock, pools: PoolSet, fair: FairAdmission, listener: WaitingRequestsListener): WaitingRequests {
    return new WaitingRequests(clock, pools, fair, listener)
  }

  /** Queues a request, or reports it as expired at once where the expected wait is too long. `isReturning` when room was reserved for it. */
  add (connection: EntryConnection, question: PlacementQuestion, isReturning = false): void {
    const now = this.clock.monotonicMilliseconds()
    const pool = this.pools.pool(question.pool)
    const maximumWait = lateSlackOf(question, pool)
    const expected = pool.expectedWait(question.priority, now)
    const isFair = this.fair.isOn
    if (isFair ? !this.fair.mayWait(question, pool, isReturning, now) : expected >= maximumWait) {
      return this.listener.expired(connection, question, expected, 0)
    }
    const key = placementKey(connection.entry, question.ticket)
    const lateAt = now + Math.max(0, slackOf(question, pool))
    const resolve = (choice: UpstreamChoice | undefined): void => this.finish(wait, choice)
    const wait: Wait = { question, requester: connection, since: now, key, lateAt, givenUpAt: now + maximumWait, expected, resolve }
    this.waiting.set(key, wait)
    this.deadlines.set(wait, Math.min(lateAt, wait.givenUpAt))
    if (isFair) pool.line.addFair(wait, isReturning)
    else pool.line.add(wait)
  }

  /** Ends the wait of a request without placing it; false when it does not wait. */
  cancel (key: string): boolean {
    const waiting = this.waiting.get(key)
    if (waiting === undefined || !this.poolOf(waiting).line.withdraw(waiting)) return false
    waiting.resolve(undefined)
    return true
  }

  /** Ends the waits of all requests of an entry. */
  cancelOf (entry: string): void {
    for (const [key, { requester }] of this.waiting) {
      if (requester.entry === entry) this.cancel(key)
    }
  }

  /** Ends all waits. */
  clear (): void {
    for (const key of [...this.waiting.keys()]) this.cancel(key)
  }

  /** Withdraws the waiting requests of a pool that none of its upstreams may take, and returns them. */
  withdrawUnservable (poolName: string): Array<{ readonly question: PlacementQuestion, readonly requester: EntryConnection }> {
    const pool = this.pools.pool(poolName)
    const now = this.clock.monotonicMilliseconds()
    const unservable = [...this.waiting.values()].filter(({ question, requester }) => {
      return question.pool === poolName && !pool.hasEligibleUpstream(question, requester, now)
    })
    return unservable.filter(({ key }) => this.cancel(key))
  }

  /** Offers all upstreams of a pool to its waiting requests. */
  drain (poolName: string): void {
    const pool = this.pools.pool(poolName)
    const now = this.clock.monotonicMilliseconds()
    pool.drainQueue(now, this.constraintsAt(pool, now))
  }

  /** Offers an upstream that may have become free to the waiting requests. `drain` offers the others of a large pool. */
  drainTo (poolName: string, instance: string): void {
    const pool = this.pools.pool(poolName)
    if (pool.line.length === 0) return
    const now = this.clock.monotonicMilliseconds()
    pool.drainTo(instance, now, this.constraintsAt(pool, now))
  }

  private finish (wait: Wait, choice: UpstreamChoice | undefined): void {
    this.deadlines.cancel(wait)
    this.waiting.delete(wait.key)
    if (choice !== undefined) this.listener.placed(wait.requester, wait.question, choice)
  }

  private handleDeadline (wait: Wait): void {
    if (this.clock.monotonicMilliseconds() >= wait.givenUpAt) return this.giveUp(wait)
    this.deadlines.set(wait, wait.givenUpAt)
    this.handleLate(wait)
  }

  /** Moves a request that can no longer be answered in time behind the others, or gives it up where even a late answer is unlikely. */
  private handleLate (wait: Wait): void {
    const now = this.clock.monotonicMilliseconds()
    const pool = this.poolOf(wait)
    if (!pool.line.moveToLate(wait)) return
    this.tryPlace(wait)
    const expected = this.fair.isOn ? this.fair.expectedLateWait(wait.question, pool, now) : pool.expectedWait(Infinity, now)
    if (expected > lateSlackOf(wait.question, pool) - (now - wait.since)) this.giveUp(wait)
  }

  private giveUp (wait: Wait): void {
    this.tryPlace(wait)
    if (this.cancel(wait.key)) this.listener.expired(wait.requester, wait.question, wait.expected, this.clock.monotonicMilliseconds() - wait.since)
  }

  private tryPlace (waiting: WaitingQuestion): void {
    const pool = this.poolOf(waiting)
    if (!pool.line.isWaiting(waiting)) return
    const now = this.clock.monotonicMilliseconds()
    pool.tryPlace(waiting, now, this.constraintsAt(pool, now))
  }

  private constraintsAt (pool: PoolDispatcher, now: number): (waiting: WaitingQuestion) => ChoiceConstraints {
    return ({ question, since }) => constraintsOf(question, pool, this.pools.budget(question.pool), now - since, now)
  }

  private poolOf ({ question }: WaitingQuestion): PoolDispatcher {
    return this.pools.pool(question.pool)
  }
}
