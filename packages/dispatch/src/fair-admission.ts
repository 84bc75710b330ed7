/** Admission when callers compete: quotas and pools with reservations for the callers that were refused. It acts only where the policy asks for it. */
import { DenialReason, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { Logger } from '@hickoryspoke/telemetry/logger'
import { AdmissionReport } from './admission-report.ts'
import type { CustomerRateLimiter } from './customer-rate-limiter.ts'
import { defaultPolicy, type PolicySource } from './dispatch-policy.ts'
import { PoolAdmission } from './pool-admission.ts'
import type { PoolDispatcher, PoolSnapshot } from './pool-dispatcher.ts'
import type { PoolSet } from './pool-set.ts'
import { QuotaAdmission } from './quota-admission.ts'
import { longestReturn, SpreadReturns } from './return-time.ts'

/** Dependencies of a `FairAdmission`. */
export interface FairAdmissionOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly rates: CustomerRateLimiter
  readonly pools: PoolSet
  readonly policy: PolicySource | undefined
}

/** The admission of all pools, for the duration of one leadership. */
export class FairAdmission {
  private readonly admissions = new Map<PoolDispatcher, PoolAdmission>()
  private readonly quota: QuotaAdmission
  private readonly spread = SpreadReturns.create()
  private readonly report: AdmissionReport
  private readonly policy: PolicySource

  private constructor (private readonly options: FairAdmissionOptions) {
    this.quota = QuotaAdmission.create(options.clock, options.rates)
    this.report = AdmissionReport.create(options.logger)
    this.policy = options.policy ?? defaultPolicy
  }

  static create (options: FairAdmissionOptions): FairAdmission {
    return new FairAdmission(options)
  }

  /** Whether the policy in force asks for fair admission. */
  get isOn (): boolean {
    return this.policy().fairAdmission
  }

  /** Takes a token of the customer's rate limit; false when there is none for this request. */
  tryTake (question: PlacementQuestion, now: number): boolean {
    return this.isOn ? this.quota.tryTake(question, now) : this.options.rates.tryTake(question.customer, now)
  }

  /** Returns the token of a request that was not placed. */
  refund ({ customer }: PlacementQuestion, waitedMilliseconds: number): void {
    if (this.isOn) this.options.rates.refund(customer, this.options.clock.monotonicMilliseconds() - waitedMilliseconds)
    else this.options.rates.refund(customer)
  }

  /** Counts a request that reached its pool; true when room was reserved for it. */
  arrive (question: PlacementQuestion, pool: PoolDispatcher, now: number): boolean {
    if (!this.isOn) return false
    return this.admissionOf(pool).arrive(question, now)
  }

  /** Whether a request that found no slot may wait in its place. */
  mayWait (question: PlacementQuestion, pool: PoolDispatcher, isReturning: boolean, now: number): boolean {
    return this.admissionOf(pool).mayWait(question, isReturning, now)
  }

  /** Expected wait of a request that can only be answered late. */
  expectedLateWait (question: PlacementQuestion, pool: PoolDispatcher, now: number): number {
    return this.admissionOf(pool).expectedLateWait(question, now)
  }

  /**
   * Records a refusal and reserves room for the caller's return, if there is any. Returns the milliseconds after which the caller is
   * told to return; `usual` is what it is told without the policy. Nothing is reserved where the dispatcher itself is overloaded, as
   * its pool may have room. Call it once for each refusal.
   */
  refuse (question: PlacementQuestion, reason: DenialReason, waitedMilliseconds: number, usual: number, mayReserve = true): number {
    if (!this.isOn) return usual
    const now = this.options.clock.monotonicMilliseconds()
    const at = mayReserve ? this.reserve(question, reason, waitedMilliseconds, now) : undefined
    this.report.countRefusal(question, reason, at !== undefined)
    if (at !== undefined) return at - now
    const patience = question.patienceMilliseconds - waitedMilliseconds
    if (!mayReserve) return Math.max(usual, this.spread.any(patience))
    const isFull = reason === DenialReason.DENIAL_REASON_RATE || reason === DenialReason.DENIAL_REASON_OVERLOADED
    return isFull ? longestReturn(patience) : this.spread.any(patience)
  }

  /** Counts a request that was placed, for the log. */
  countPlaced (question: PlacementQuestion): void {
    if (this.isOn) this.report.countPlaced(question)
  }

  /** Logs what was refused since the last line, if it is time to. */
  tick (now: number): void {
    if (this.isOn) this.report.logDue(now, (pool) => this.admissions.get(this.options.pools.pool(pool))?.returns.length ?? 0)
  }

  /** Adds what only fair admission knows to the snapshot of a pool. */
  extend (snapshot: PoolSnapshot, now: number): PoolSnapshot {
    if (!this.isOn) return snapshot
    const pool = this.options.pools.pool(snapshot.name)
    const longestWaits = [...pool.line.fair.oldestByPriority()].map(([priority, since]) => ({ priority, milliseconds: now - since }))
    return { ...snapshot, reservations: this.admissions.get(pool)?.returns.length ?? 0, longestWaits }
  }

  private reserve (question: PlacementQuestion, reason: DenialReason, waitedMilliseconds: number, now: number): number | undefined {
    if (reason === DenialReason.DENIAL_REASON_RATE) return this.quota.reserve(question, now)
    if (reason !== DenialReason.DENIAL_REASON_OVERLOADED) return undefined
    const at = this.admissionOf(this.options.pools.pool(question.pool)).reserve(question, waitedMilliseconds, now)
    if (at !== undefined && question.customer !== '') this.quota.hold(question, at)
    return at
  }

  private admissionOf (pool: PoolDispatcher): PoolAdmission {
    const known = this.admissions.get(pool)
    if (known !== undefined) return known
    const created = PoolAdmission.create(this.options.clock, pool)
    this.admissions.set(pool, created)
    return created
  }
}
