/** Chooses an upstream for every request of the fleet, with all requests in flight and all evidence in one place. */
import {
  DenialReason, PlacementOutcome,
  type DispatchMessage, type PlacementEnd, type PlacementQuestion, type RunningRequest, type Suspicion
} from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { CrashRegister } from './crash-register.ts'
import type { AdmissionReport, CustomerRates } from './customer-rates.ts'
import { logDenial, logEvidence } from './dispatcher-log.ts'
import { OVERDUE_FACTOR, Placements, type EndedPlacement } from './placements.ts'
import type { Asker, ChoiceTerms, PoolDispatcher, PoolView } from './pool-dispatcher.ts'
import { PoolSet } from './pool-set.ts'
import type { BudgetTerms } from './request-budget.ts'
import { lateSlackOf, slackOf } from './request-slack.ts'
import type { HeldUpstream, UpstreamRegistry } from './upstream-registry.ts'
import type { Choice } from './upstream-choice.ts'
import type { WaitingQuestion } from './waiting-line.ts'

/** One entry that attends, and the way to it. */
export interface Attendant extends Asker {
  send (message: DispatchMessage): void
}

/** What the dispatcher works with. */
export interface DispatcherParts {
  readonly clock: Clock
  readonly logger: Logger
  readonly registry: UpstreamRegistry
  readonly rates: CustomerRates
  readonly budget: BudgetTerms
  /** Part of a pool's sound upstreams that must have requests. */
  readonly floorShare: number
}

/** What an entry brings from an earlier dispatcher, or from a time without one. */
export interface InheritedRequests extends AdmissionReport {
  readonly running: readonly RunningRequest[]
}

const SHORTEST_RETRY_MILLISECONDS = 200
const YOUNG_MILLISECONDS = 3_000
/** Ends after which a request is lost unless it may be repeated. */
const LOST_OUTCOMES: ReadonlySet<PlacementOutcome> = new Set([
  PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN, PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT
])

/** The dispatcher of one leader. */
export class Dispatcher {
  private readonly pools: PoolSet
  private readonly crashes = CrashRegister.create()
  private readonly placements: Placements
  private readonly waiting = new Map<string, WaitingQuestion>()
  private readonly inherited = new Set<string>()
  private readonly beganAt: number

  private constructor (private readonly parts: DispatcherParts) {
    this.beganAt = parts.clock.monotonicMilliseconds()
    this.pools = PoolSet.create(parts.clock, parts.budget, parts.floorShare)
    this.placements = Placements.create(parts.clock, ({ poolName }) => this.drain(poolName))
    for (const upstream of parts.registry.present()) this.pools.update(upstream)
  }

  static create (parts: DispatcherParts): Dispatcher {
    return new Dispatcher(parts)
  }

  /** Takes changes of the announced upstreams. */
  updateAll (changed: readonly HeldUpstream[]): void {
    const pools = new Set(changed.map((upstream) => this.pools.update(upstream)))
    for (const pool of pools) this.drain(pool)
  }

  /** Counts what an entry has in flight and admitted from before; what it does not name has ended. */
  inherit (attendant: Attendant, { running, ...report }: InheritedRequests): void {
    if (!this.inherited.has(attendant.entry)) this.parts.rates.inherit(report)
    this.inherited.add(attendant.entry)
    const named = new Set(running.map((request) => keyOf(attendant.entry, request.ticket)))
    for (const key of this.placements.keysOf(attendant.entry)) {
      if (!named.has(key)) this.release(key)
    }
    for (const [key, waiting] of this.waiting) {
      if (waiting.asker.entry === attendant.entry) this.forgetWaiting(key)
    }
    for (const request of running) {
      const key = keyOf(attendant.entry, request.ticket)
      if (!this.placements.has(key)) this.inheritOne(key, attendant.entry, request.instance)
    }
  }

  /** Places a request, lets it wait, or denies it. */
  ask (attendant: Attendant, question: PlacementQuestion): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const refusal = this.admit(question, now)
    if (refusal !== undefined) return this.deny(attendant, question, refusal.reason, refusal.retryAfter)
    const pool = this.pools.pool(question.pool)
    const choice = pool.choose(question, attendant, now, this.termsOf(question, pool, 0, now))
    if (choice !== undefined) return this.place(attendant, question, choice)
    if (!this.isYoung(now) && !pool.hasEligible(question, attendant, now)) return this.denyUnplaced(attendant, question, DenialReason.DENIAL_REASON_NO_UPSTREAM)
    this.wait(attendant, question, pool, now)
  }

  /** Learns how a placed request ended, or takes back one that waits. */
  end (attendant: Attendant, end: PlacementEnd): void {
    const key = keyOf(attendant.entry, end.ticket)
    this.forgetWaiting(key)
    const placed = this.placements.take(key)
    const instance = placed?.instance ?? end.instance
    const poolName = this.parts.registry.find(instance)?.announced.pool
    if (poolName !== undefined) this.learn(attendant, poolName, { ...end, instance }, placed)
    if (placed !== undefined) this.drain(placed.poolName)
  }

  /** Places what waits for an upstream whose time to be avoided is over. */
  tick (): void {
    for (const name of this.pools.waitingPools()) this.drain(name)
  }

  /** Ends all that waits; the entries ask elsewhere. */
  close (): void {
    for (const key of [...this.waiting.keys()]) this.forgetWaiting(key)
    this.placements.clear()
  }

  /** All pools as they are now. */
  views (): PoolView[] {
    return this.pools.views(this.parts.clock.monotonicMilliseconds())
  }

  /** Upstreams that probably fail now. */
  suspicions (): Suspicion[] {
    return this.pools.suspicions(this.parts.clock.monotonicMilliseconds())
  }

  /** Takes over what an earlier dispatcher believed at a moment in monotonic milliseconds. */
  adopt (suspicions: readonly Suspicion[], at: number): void {
    for (const { instance, probability } of suspicions) {
      const pool = this.parts.registry.find(instance)?.announced.pool
      if (pool !== undefined) this.pools.pool(pool).standingOf(instance).adopt(probability, at)
    }
  }

  /** Whether the upstream answers requests. */
  isInUse (upstream: HeldUpstream): boolean {
    const { pool, instance } = upstream.announced
    return this.pools.pool(pool).standingOf(instance).isInUse(this.parts.clock.monotonicMilliseconds())
  }

  /** Just after a change of leader not all upstreams may have been announced here. */
  private isYoung (now: number): boolean {
    return now - this.beganAt < YOUNG_MILLISECONDS
  }

  private admit (question: PlacementQuestion, now: number): { reason: DenialReason, retryAfter: number } | undefined {
    if (question.fingerprint !== 0 && this.crashes.isHeldBack(question.fingerprint, now)) {
      return { reason: DenialReason.DENIAL_REASON_CRASHING, retryAfter: SHORTEST_RETRY_MILLISECONDS }
    }
    const budget = this.pools.budget(question.pool)
    if (question.attempt > 0) {
      return budget.takeRepeat(now) ? undefined : { reason: DenialReason.DENIAL_REASON_BUDGET, retryAfter: SHORTEST_RETRY_MILLISECONDS }
    }
    if (question.charged) return undefined
    budget.countRequest(now)
    if (question.customer === '' || this.parts.rates.take(question.customer, now)) return undefined
    return { reason: DenialReason.DENIAL_REASON_RATE, retryAfter: this.parts.rates.waitMilliseconds(question.customer) }
  }

  private wait (attendant: Attendant, question: PlacementQuestion, pool: PoolDispatcher, now: number): void {
    const longest = lateSlackOf(question, pool)
    const expected = pool.expectedWait(question.priority, now)
    if (expected >= longest) return this.denyUnplaced(attendant, question, DenialReason.DENIAL_REASON_OVERLOADED, expected)
    const key = keyOf(attendant.entry, question.ticket)
    const { clock } = this.parts
    const slack = slackOf(question, pool)
    const giveUp = (): void => {
      this.drain(question.pool)
      if (this.forgetWaiting(key)) this.denyUnplaced(attendant, question, DenialReason.DENIAL_REASON_OVERLOADED, expected)
    }
    const timers = [clock.schedule(longest, giveUp)]
    const waiting: WaitingQuestion = {
      question,
      asker: attendant,
      since: now,
      resolve: (choice) => {
        for (const timer of timers) timer.cancel()
        this.waiting.delete(key)
        if (choice !== undefined) this.place(attendant, question, choice)
      }
    }
    if (slack < longest) timers.push(clock.schedule(Math.max(0, slack), () => this.becomeLate(question.pool, waiting, giveUp)))
    this.waiting.set(key, waiting)
    pool.line.add(waiting)
  }

  /** What can no longer be answered in time waits behind the rest, and is refused where the rest would take too long. */
  private becomeLate (poolName: string, waiting: WaitingQuestion, giveUp: () => void): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const pool = this.pools.pool(poolName)
    if (!pool.line.becomeLate(waiting)) return
    this.drain(poolName)
    if (pool.expectedWait(Infinity, now) > lateSlackOf(waiting.question, pool) - (now - waiting.since)) giveUp()
  }

  private forgetWaiting (key: string): boolean {
    const waiting = this.waiting.get(key)
    if (waiting === undefined || !this.pools.pool(waiting.question.pool).line.withdraw(waiting)) return false
    waiting.resolve(undefined)
    return true
  }

  private place (attendant: Attendant, question: PlacementQuestion, { upstream, isForced }: Choice): void {
    const { instance, address } = upstream.announced
    const key = keyOf(attendant.entry, question.ticket)
    this.release(key)
    const pool = this.pools.pool(question.pool)
    this.placements.add({ key, entry: attendant.entry, instance, pool, poolName: question.pool, question, isForced })
    attendant.send({ body: { $case: 'placement', value: { ticket: question.ticket, instance, address } } })
  }

  private inheritOne (key: string, entry: string, instance: string): void {
    const poolName = this.parts.registry.find(instance)?.announced.pool ?? ''
    this.placements.add({ key, entry, instance, pool: this.pools.pool(poolName), poolName, question: undefined, isForced: false })
  }

  private release (key: string): void {
    const placed = this.placements.take(key)
    if (placed !== undefined) this.drain(placed.poolName)
  }

  private learn (attendant: Attendant, poolName: string, end: PlacementEnd, placed: EndedPlacement | undefined): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const question = placed?.question
    const pool = this.pools.pool(poolName)
    const standing = pool.standingOf(end.instance)
    const before = standing.standing(now)
    const outcome = isEarlyTimeout(end, pool) ? PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED : end.outcome
    if (placed?.isForced !== true) pool.unserved.count(LOST_OUTCOMES.has(outcome) && question?.mayRepeat !== true, now)
    standing.record({
      outcome,
      entry: attendant.entry,
      placedAt: placed?.placedAt ?? now - end.milliseconds,
      milliseconds: end.milliseconds,
      usualMilliseconds: pool.times.usualMilliseconds(question?.route ?? ''),
      wasOverdue: placed?.wasOverdue ?? false
    }, now)
    if (outcome !== PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED) pool.forgetState()
    if (end.load !== undefined) standing.noteLoad(end.load, now)
    if (question !== undefined) this.learnOfRequest(question, end, pool, now)
    if (end.outcome === PlacementOutcome.PLACEMENT_OUTCOME_MISDIRECTED) this.parts.registry.leave(end.instance, undefined)
    if (before !== standing.standing(now) || LOST_OUTCOMES.has(end.outcome)) logEvidence(this.parts.logger, attendant.entry, poolName, end, standing, now)
  }

  private learnOfRequest (question: PlacementQuestion, end: PlacementEnd, pool: PoolDispatcher, now: number): void {
    if (end.outcome === PlacementOutcome.PLACEMENT_OUTCOME_BROKEN) this.crashes.countBroken(question.fingerprint, now)
    if (end.outcome !== PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED) return
    pool.times.record(question.route, end.milliseconds)
    this.crashes.countAnswered(question.fingerprint)
  }

  private termsOf (question: PlacementQuestion, pool: PoolDispatcher, waitedMilliseconds: number, now: number): ChoiceTerms {
    return {
      mayProbe: question.mayRepeat && this.pools.budget(question.pool).allowsRepeat(now),
      slackMilliseconds: slackOf(question, pool) - waitedMilliseconds,
      lateSlackMilliseconds: lateSlackOf(question, pool) - waitedMilliseconds
    }
  }

  private drain (poolName: string): void {
    const now = this.parts.clock.monotonicMilliseconds()
    const pool = this.pools.pool(poolName)
    pool.drainQueue(now, (waiting) => this.termsOf(waiting.question, pool, now - waiting.since, now))
  }

  private denyUnplaced (attendant: Attendant, question: PlacementQuestion, reason: DenialReason, retryAfter = SHORTEST_RETRY_MILLISECONDS): void {
    if (question.attempt === 0 && question.customer !== '') this.parts.rates.giveBack(question.customer)
    this.deny(attendant, question, reason, Math.max(SHORTEST_RETRY_MILLISECONDS, retryAfter))
  }

  private deny (attendant: Attendant, question: PlacementQuestion, reason: DenialReason, retryAfter: number): void {
    const value = { ticket: question.ticket, reason, retryAfterMilliseconds: Math.ceil(retryAfter) }
    this.pools.pool(question.pool).unserved.count(true, this.parts.clock.monotonicMilliseconds())
    attendant.send({ body: { $case: 'denial', value } })
    const view = this.pools.pool(question.pool).view(question.pool, this.parts.clock.monotonicMilliseconds())
    logDenial(this.parts.logger, attendant.entry, question, value, view)
  }
}

/** A request whose own time was short says nothing about its upstream. */
function isEarlyTimeout (end: PlacementEnd, pool: PoolDispatcher): boolean {
  return end.outcome === PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT && end.milliseconds < OVERDUE_FACTOR * pool.times.meanMilliseconds()
}

function keyOf (entry: string, ticket: number): string {
  return `${entry}/${ticket}`
}
