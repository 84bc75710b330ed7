/** The fleet's central dispatcher: it chooses an upstream for every request, knowing all requests in flight and all evidence of failures. */
import {
  DenialReason, PlacementOutcome,
  type PlacementEnd, type PlacementQuestion, type Suspicion, type UpstreamLimit, type UpstreamNotice
} from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { ColdLimit, GrantedShare } from './cold-limit.ts'
import { CrashTracker } from './crash-tracker.ts'
import type { CustomerRateLimiter } from './customer-rate-limiter.ts'
import { DenialLog } from './denial-log.ts'
import type { PolicySource } from './dispatch-policy.ts'
import { logEvidence, logLimit, logNotice, logOverdue } from './dispatcher-log.ts'
import type { EntryConnection, EntryHandover } from './entry-connection.ts'
import { FairAdmission } from './fair-admission.ts'
import { isEarlyTimeout, placementKey, Placements, type ActivePlacement, type EndedPlacement } from './placements.ts'
import type { PoolCostSummary } from './pool-costs.ts'
import type { PoolDispatcher, PoolSnapshot } from './pool-dispatcher.ts'
import { PoolSet } from './pool-set.ts'
import type { FleetRetryBudgetSettings } from './fleet-retry-budget.ts'
import { constraintsOf } from './request-slack.ts'
import { UpstreamLimits } from './upstream-limits.ts'
import type { RegisteredUpstream, UpstreamRegistry } from './upstream-registry.ts'
import type { UpstreamChoice } from './upstream-choice.ts'
import { WaitingRequests } from './waiting-requests.ts'
import { NO_EVACUATIONS, type DispatcherZoneView } from './zone-view.ts'

/** Dependencies and settings of a `Dispatcher`. */
export interface DispatcherOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly registry: UpstreamRegistry
  readonly rates: CustomerRateLimiter
  readonly budget: FleetRetryBudgetSettings
  /** Share of a pool's sound upstreams that must receive requests; 0 for none. */
  readonly floorShare: number
  /** Which optional decisions are made; none by default. */
  readonly policy?: PolicySource
  /** The evacuated zones; none by default. */
  readonly zones?: DispatcherZoneView
}

const MINIMUM_RETRY_AFTER_MILLISECONDS = 200
/** After this time, callers that were denied because the dispatcher is overloaded may come back. */
const OVERLOAD_RETRY_AFTER_MILLISECONDS = 1_000
/** Just after a change of leader, some upstreams may not have been announced to the new one yet. */
const STARTUP_MILLISECONDS = 3_000
/** Outcomes after which a request fails, unless it may be repeated. */
const FAILED_OUTCOMES: ReadonlySet<PlacementOutcome> = new Set([
  PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR, PlacementOutcome.PLACEMENT_OUTCOME_BROKEN, PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT
])

/** Places, queues or denies requests for the duration of one leadership. */
export class Dispatcher {
  private readonly limits: UpstreamLimits
  private readonly pools: PoolSet
  private readonly crashes = CrashTracker.create()
  private readonly placements: Placements
  private readonly waiting: WaitingRequests
  private readonly fair: FairAdmission
  private readonly denials: DenialLog
  private readonly restoredEntries = new Set<string>()
  private readonly startedAt: number

  private constructor (private readonly options: DispatcherOptions) {
    this.startedAt = options.clock.monotonicMilliseconds()
    const { registry } = options
    this.limits = UpstreamLimits.create(options.clock, (instance) => ColdLimit.create(registry, instance, GrantedShare.create(registry.cold.allowance)))
    this.pools = PoolSet.create(options.clock, this.limits, options.budget, options.floorShare, options.policy, options.zones ?? NO_EVACUATIONS)
    this.denials = DenialLog.create(options.clock, options.logger)
    this.fair = FairAdmission.create({ ...options, policy: options.policy, pools: this.pools })
    this.waiting = WaitingRequests.create(options.clock, this.pools, this.fair, {
      placed: (connection, question, choice) => this.place(connection, question, choice),
      expired: (connection, question, retryAfter, waited) => this.refundAndDeny(connection, question, DenialReason.DENIAL_REASON_OVERLOADED, retryAfter, waited)
    })
    this.placements = Placements.create(options.clock, {
      expired: ({ poolName, instance }) => this.waiting.drainTo(poolName, instance),
      overdue: (placement) => this.recordOverdue(placement)
    })
    for (const upstream of options.registry.present()) this.pools.update(upstream)
  }

  static create (options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options)
  }

  /** Applies changes of the announced upstreams. */
  updateUpstreams (changed: readonly RegisteredUpstream[]): void {
    const pools = new Set(changed.map((upstream) => this.pools.update(upstream)))
    for (const pool of pools) this.waiting.drain(pool)
  }

  /** Applies a change of the evacuated zones. Requests that only upstreams of evacuated zones could take are refused. */
  updateZones (): void {
    this.pools.updateZones()
    for (const name of this.pools.waitingPools()) {
      this.refuseUnservable(name)
      this.waiting.drain(name)
    }
  }

  /** Takes over an entry's running requests and recent admissions, and the limits that it knows. Placements that it does not list have ended. */
  restoreEntry (connection: EntryConnection, { running, limits, ...report }: EntryHandover): void {
    this.adoptLimits(limits)
    if (!this.restoredEntries.has(connection.entry)) this.options.rates.addReport(report)
    this.restoredEntries.add(connection.entry)
    const runningKeys = new Set(running.map((request) => placementKey(connection.entry, request.ticket)))
    for (const key of this.placements.keysOf(connection.entry)) {
      if (!runningKeys.has(key)) this.release(key)
    }
    this.waiting.cancelOf(connection.entry)
    for (const request of running) {
      const key = placementKey(connection.entry, request.ticket)
      if (!this.placements.has(key)) this.restorePlacement(key, connection, request.instance)
    }
  }

  /** Places a request, queues it, or denies it. */
  ask (connection: EntryConnection, question: PlacementQuestion): void {
    const now = this.options.clock.monotonicMilliseconds()
    const refusal = this.admit(question, now)
    if (refusal !== undefined) return this.deny(connection, question, refusal.reason, refusal.retryAfter)
    const pool = this.pools.pool(question.pool)
    const isReturning = this.fair.arrive(question, pool, now)
    const choice = pool.choose(question, connection, now, constraintsOf(question, pool, this.pools.budget(question.pool), 0, now))
    if (choice !== undefined) return this.place(connection, question, choice)
    if (
      !this.isStartingUp(now) && !pool.hasEligibleUpstream(question, connection, now)
    ) return this.refundAndDeny(connection, question, DenialReason.DENIAL_REASON_NO_UPSTREAM)
    this.waiting.add(connection, question, isReturning)
  }

  /** Denies a question that came in faster than questions can be handled. Only an earlier question for the request can have been charged. */
  denyOverdue (connection: EntryConnection, question: PlacementQuestion): void {
    if (question.charged && question.attempt === 0 && question.customer !== '') this.fair.refund(question, 0)
    this.deny(connection, question, DenialReason.DENIAL_REASON_OVERLOADED, OVERLOAD_RETRY_AFTER_MILLISECONDS, 0, false)
  }

  /** Records how a placed request ended, or cancels one that waits. */
  end (connection: EntryConnection, end: PlacementEnd): void {
    const key = placementKey(connection.entry, end.ticket)
    this.waiting.cancel(key)
    const placed = this.placements.remove(key)
    const instance = placed?.instance ?? end.instance
    const poolName = this.options.registry.find(instance)?.announced.pool
    if (poolName !== undefined) this.recordEnd(connection, poolName, { ...end, instance }, placed)
    if (placed !== undefined) this.waiting.drainTo(placed.poolName, instance)
  }

  /** Tries the queues again, since an upstream may become acceptable as time passes. */
  tick (): void {
    for (const name of this.pools.waitingPools()) {
      if (this.pools.pool(name).isEvacuated) this.refuseUnservable(name)
      this.waiting.drain(name)
    }
    this.fair.tick(this.options.clock.monotonicMilliseconds())
  }

  /** Drops all waiting requests and placements; the entries ask the next leader. */
  close (): void {
    this.waiting.clear()
    this.placements.clear()
  }

  /** The current state of every pool. */
  snapshots (): PoolSnapshot[] {
    const now = this.options.clock.monotonicMilliseconds()
    return this.pools.snapshots(now).map((snapshot) => this.fair.extend(snapshot, now))
  }

  /** What is learned of the costs of each pool's requests. */
  costs (): PoolCostSummary[] {
    return this.pools.costs(this.options.clock.monotonicMilliseconds())
  }

  /** Suspect upstreams, with their probability of failure. */
  suspicions (): Suspicion[] {
    return this.pools.suspicions(this.options.clock.monotonicMilliseconds())
  }

  /** Takes over an earlier dispatcher's suspicions; `at` is when they were received, in monotonic milliseconds. */
  adoptSuspicions (suspicions: readonly Suspicion[], at: number): void {
    for (const { instance, probability } of suspicions) {
      const pool = this.options.registry.find(instance)?.announced.pool
      if (pool !== undefined) this.pools.pool(pool).standingOf(instance).adoptProbability(probability, at)
    }
  }

  /** Limits that upstreams state. */
  statedLimits (): UpstreamLimit[] {
    return this.limits.stated()
  }

  /** Takes over limits known to an earlier dispatcher or to an entry. */
  adoptLimits (limits: readonly UpstreamLimit[]): void {
    this.limits.add(limits)
  }

  /** Whether the upstream is sound and answered a request recently. */
  isInUse (upstream: RegisteredUpstream): boolean {
    const { pool, instance } = upstream.announced
    return this.pools.pool(pool).standingOf(instance).isInUse(this.options.clock.monotonicMilliseconds())
  }

  /** Just after a change of leader, upstreams of other zones may be announced yet. */
  private refuseUnservable (poolName: string): void {
    if (this.isStartingUp(this.options.clock.monotonicMilliseconds())) return
    for (const { requester, question } of this.waiting.withdrawUnservable(poolName)) {
      this.refundAndDeny(requester, question, DenialReason.DENIAL_REASON_NO_UPSTREAM)
    }
  }

  private isStartingUp (now: number): boolean {
    return now - this.startedAt < STARTUP_MILLISECONDS
  }

  /** Checks crash blocks, retry budget and rate limit; returns why the request is denied, or undefined. */
  private admit (question: PlacementQuestion, now: number): { reason: DenialReason, retryAfter: number } | undefined {
    if (question.fingerprint !== 0 && this.crashes.isBlocked(question.fingerprint, now)) {
      return { reason: DenialReason.DENIAL_REASON_CRASHING, retryAfter: MINIMUM_RETRY_AFTER_MILLISECONDS }
    }
    const budget = this.pools.budget(question.pool)
    if (question.attempt > 0) {
      return budget.tryTakeRetry(now) ? undefined : { reason: DenialReason.DENIAL_REASON_BUDGET, retryAfter: MINIMUM_RETRY_AFTER_MILLISECONDS }
    }
    if (question.charged) return undefined
    budget.recordRequest(now)
    if (question.customer === '' || this.fair.tryTake(question, now)) return undefined
    return { reason: DenialReason.DENIAL_REASON_RATE, retryAfter: this.options.rates.waitMilliseconds(question.customer) }
  }

  private place (connection: EntryConnection, question: PlacementQuestion, { upstream, isForced }: UpstreamChoice): void {
    const { instance, address } = upstream.announced
    const key = placementKey(connection.entry, question.ticket)
    this.release(key)
    const pool = this.pools.pool(question.pool)
    this.placements.add({ key, connection, instance, pool, poolName: question.pool, question, isForced })
    this.fair.countPlaced(question)
    connection.send({ body: { $case: 'placement', value: { ticket: question.ticket, instance, address } } })
  }

  private restorePlacement (key: string, connection: EntryConnection, instance: string): void {
    const poolName = this.options.registry.find(instance)?.announced.pool ?? ''
    this.placements.add({ key, connection, instance, pool: this.pools.pool(poolName), poolName, question: undefined, isForced: false })
  }

  private release (key: string): void {
    const placed = this.placements.remove(key)
    if (placed !== undefined) this.waiting.drainTo(placed.poolName, placed.instance)
  }

  private recordEnd (connection: EntryConnection, poolName: string, end: PlacementEnd, placed: EndedPlacement | undefined): void {
    const now = this.options.clock.monotonicMilliseconds()
    const question = placed?.question
    const pool = this.pools.pool(poolName)
    const standing = pool.standingOf(end.instance)
    const before = standing.standing(now)
    const outcome = isEarlyTimeout(end, pool) ? PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED : end.outcome
    if (placed?.isForced !== true) pool.unserved.count(FAILED_OUTCOMES.has(outcome) && question?.mayRepeat !== true, now)
    const placedAt = placed?.placedAt ?? now - end.milliseconds
    const isLimitChanged = end.statedLimit !== undefined && standing.limit.record(end.statedLimit, placedAt, now)
    if (isLimitChanged) logLimit(this.options.logger, connection.entry, poolName, end, standing)
    if (end.notice !== undefined) this.recordNotice(connection.entry, end.instance, end.notice, now)
    standing.record({
      outcome,
      entry: connection.entry,
      placedAt,
      milliseconds: end.milliseconds,
      usualMilliseconds: pool.responseTimes.usualMilliseconds(question?.route ?? ''),
      wasOverdue: placed?.wasOverdue ?? false
    }, now)
    if (outcome !== PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED) pool.invalidateState()
    if (end.load !== undefined) standing.recordLoad(end.load, now)
    if (question !== undefined) this.recordRequestEnd(question, end, pool, now)
    if (placed?.work !== undefined && outcome === PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED) pool.costs.learn(placed.work, end.milliseconds, now)
    if (end.outcome === PlacementOutcome.PLACEMENT_OUTCOME_MISDIRECTED) this.options.registry.takeOut(end.instance)
    if (before !== standing.standing(now) || FAILED_OUTCOMES.has(end.outcome)) logEvidence(this.options.logger, connection.entry, poolName, end, standing, now)
  }

  /** Stops placing requests on an upstream that told an entry that it wants none. */
  private recordNotice (entry: string, instance: string, notice: UpstreamNotice, now: number): void {
    const upstream = this.options.registry.find(instance)
    if (upstream === undefined) return
    const { pool, born } = upstream.announced
    const isNews = this.pools.pool(pool).standingOf(instance).availability.record({ ...notice, born: notice.born ?? born }, entry, now)
    if (!isNews) return
    this.pools.update(upstream)
    logNotice(this.options.logger, entry, pool, instance, notice)
  }

  /** Counts a request that takes long as evidence of failure, before it ends, and lets its entry try another upstream. */
  private recordOverdue (placement: ActivePlacement): void {
    const { connection, question } = placement
    if (question?.mayRepeat === true) connection.send({ body: { $case: 'overdue', value: { ticket: question.ticket } } })
    const now = this.options.clock.monotonicMilliseconds()
    const standing = placement.pool.standingOf(placement.instance)
    const before = standing.standing(now)
    standing.recordOverdue(now)
    if (before !== standing.standing(now)) logOverdue(this.options.logger, placement, standing, now)
  }

  private recordRequestEnd (question: PlacementQuestion, end: PlacementEnd, pool: PoolDispatcher, now: number): void {
    if (end.outcome === PlacementOutcome.PLACEMENT_OUTCOME_BROKEN) this.crashes.recordCrash(question.fingerprint, now)
    if (end.outcome !== PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED) return
    pool.responseTimes.record(question.route, end.milliseconds)
    this.crashes.recordAnswer(question.fingerprint)
  }

  /** Denies an admitted request and returns the token that it took from its customer's rate limit. */
  private refundAndDeny (
    connection: EntryConnection, question: PlacementQuestion, reason: DenialReason, retryAfter = MINIMUM_RETRY_AFTER_MILLISECONDS, waited = 0
  ): void {
    if (question.attempt === 0 && question.customer !== '') this.fair.refund(question, waited)
    this.deny(connection, question, reason, Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, retryAfter), waited)
  }

  /** `waited` is how long the request waited, in milliseconds. */
  private deny (connection: EntryConnection, question: PlacementQuestion, reason: DenialReason, retryAfter: number, waited = 0, mayReserve = true): void {
    const retryAfterMilliseconds = Math.ceil(this.fair.refuse(question, reason, waited, retryAfter, mayReserve))
    const value = { ticket: question.ticket, reason, retryAfterMilliseconds }
    const pool = this.pools.pool(question.pool)
    const now = this.options.clock.monotonicMilliseconds()
    pool.unserved.count(true, now)
    connection.send({ body: { $case: 'denial', value } })
    this.denials.record(connection.entry, question, value, () => pool.snapshot(question.pool, now))
  }
}
