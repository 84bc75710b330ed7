/** Decides for one request of a pool that is short of slots: it waits, or it is refused now with a time to return. */
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { DemandMeter } from './demand-meter.ts'
import type { PoolDispatcher } from './pool-dispatcher.ts'
import { lateSlackOf } from './request-slack.ts'
import { ReturnSchedule } from './return-schedule.ts'
import { longestReturn, MINIMUM_RETURN_MILLISECONDS } from './return-time.ts'

/** Reserved room is at most this share of what a customer or a pool gets; the rest is for first attempts. With 0.25 and 0.5, fewer are served in time. */
const RESERVED_SHARE = 0.1
/** A priority that more urgent ones leave nothing is expected to get this share of the slots, so that its wait is long but finite. */
const MINIMUM_SHARE = 0.02
/** Late requests are expected to get at least this share of the slots, as bursts end. With less, more callers return and displace first attempts. */
const LATE_SHARE = 0.5

/** Slots that a request can count on. */
interface AvailableSlots {
  /** What the more urgent priorities leave to all customers of this one. */
  readonly left: number
  /** What the other customers of this priority leave to this one, and at least an equal share. */
  readonly own: number
  /** Mean time for which a request uses a slot. */
  readonly mean: number
}

/** The admission decision of one pool. */
export class PoolAdmission {
  readonly returns: ReturnSchedule
  private readonly demand = DemandMeter.create()

  private constructor (clock: Clock, private readonly pool: PoolDispatcher) {
    this.returns = ReturnSchedule.create(clock)
  }

  static create (clock: Clock, pool: PoolDispatcher): PoolAdmission {
    return new PoolAdmission(clock, pool)
  }

  /** Counts a new request; true when room was reserved for it. Further questions for one request are no new demand. */
  arrive (question: PlacementQuestion, now: number): boolean {
    if (question.attempt > 0 || question.charged) return false
    this.demand.count(question.priority, question.customer, this.pool.usualMilliseconds(question), now)
    return this.returns.length > 0 && this.returns.take(question.customer, question.fingerprint, now)
  }

  /** Expected wait of a new request in its own place of the order, in milliseconds. Fresh requests go behind those that are expected to return. */
  expectedWait ({ priority, customer }: PlacementQuestion, isReturning: boolean, now: number): number {
    const slots = this.slotsFor(priority, customer, now)
    if (slots === undefined) return 0
    const lines = this.pool.line.fair
    const line = lines.onTime(priority)
    const depth = line.depthOf(customer, isReturning) + (isReturning ? 0 : this.returns.lengthOf(customer))
    // Two estimates: the pool serves all that is before it in the order, and the customer's share serves the customer's own
    // requests. The longer one counts, as requests of other customers that arrive later may still go before it.
    const inOrder = (lines.moreUrgent(priority) + line.ahead(depth) + 1) * slots.mean / slots.left
    const byOwnShare = (depth + 1) * slots.mean / slots.own
    return Math.max(inOrder, byOwnShare)
  }

  /** Expected wait of a request that can only be answered late, behind all that wait with its priority or a more urgent one. */
  expectedLateWait ({ priority }: PlacementQuestion, now: number): number {
    const slots = this.pool.effectiveSlots(now)
    if (slots === 0) return 0
    const leftForPriority = this.slotsLeftFor(priority, slots, now)
    const left = Math.max(LATE_SHARE * leftForPriority, leftForPriority - this.demand.of(priority, now))
    return (this.pool.line.fair.upTo(priority) + 1) * this.pool.responseTimes.meanMilliseconds() / left
  }

  /** Whether a request may wait, as it is expected to be served before its deadline. */
  mayWait (question: PlacementQuestion, isReturning: boolean, now: number): boolean {
    return this.expectedWait(question, isReturning, now) < lateSlackOf(question, this.pool)
  }

  /** Reserves room for the return of a refused caller; undefined when there is none within the time that it honours. */
  reserve (question: PlacementQuestion, waitedMilliseconds: number, now: number): number | undefined {
    const { priority, customer, fingerprint, patienceMilliseconds } = question
    const slots = this.slotsFor(priority, customer, now)
    if (slots === undefined) return undefined
    const waitOnReturn = this.expectedWait(question, true, now)
    const usable = lateSlackOf(question, this.pool) - waitedMilliseconds - waitOnReturn
    return this.returns.reserve({
      customer,
      fingerprint,
      earliest: now + Math.max(MINIMUM_RETURN_MILLISECONDS, waitOnReturn),
      latest: now + Math.min(usable, longestReturn(patienceMilliseconds - waitedMilliseconds)),
      customerInterval: slots.mean / (RESERVED_SHARE * slots.own),
      overallInterval: slots.mean / (RESERVED_SHARE * slots.left)
    }, now)
  }

  /** Slots that more urgent priorities leave. */
  private slotsLeftFor (priority: number, slots: number, now: number): number {
    return Math.max(MINIMUM_SHARE * slots, slots - this.demand.moreUrgent(priority, now))
  }

  /** Undefined while the pool has no upstream that is known to work. */
  private slotsFor (priority: number, customer: string, now: number): AvailableSlots | undefined {
    const slots = this.pool.effectiveSlots(now)
    if (slots === 0) return undefined
    const left = this.slotsLeftFor(priority, slots, now)
    const line = this.pool.line.fair.onTime(priority)
    const sharing = line.depthOf(customer, false) > 0 ? line.customers : line.customers + 1
    const others = this.demand.of(priority, now) - this.demand.ofCustomer(priority, customer, now)
    return { left, own: Math.max(left / sharing, left - others), mean: this.pool.responseTimes.meanMilliseconds() }
  }
}
