import { sleep, type Clock, type Timer } from '@hickoryspoke/runtime/clock'
import { describeError } from '@hickoryspoke/runtime/failure'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import { Attempt, type AttemptContext, type ReadyAttempt } from './attempt.ts'
import { AttemptFailure, type AttemptFailureCode } from './attempt-failure.ts'
import type { Balancer } from './collaborators.ts'
import type { PoolPolicy } from './pool-policy.ts'
import { Refusal } from './refusal.ts'

/** Limit on the attempts of one request, and the base delay of the backoff between them. */
export interface AttemptSettings {
  readonly maximumAttempts: number
  readonly backoffMilliseconds: number
}

export const DEFAULT_ATTEMPT_SETTINGS: AttemptSettings = { maximumAttempts: 3, backoffMilliseconds: 5 }

/** Input of the attempt loop for one request. */
export interface AttemptPlan {
  readonly pool: string
  readonly customer: string
  readonly route: string
  readonly idempotent: boolean
  readonly replayable: boolean
  readonly deadlineMilliseconds: number
  /** Aborts when the deadline expires or the caller disconnects. Its reason is an `AttemptFailure`. */
  readonly signal: AbortSignal
  readonly policy: PoolPolicy
  readonly context: AttemptContext
  /** Called before each attempt; returns a refusal if the request may no longer be sent. */
  readonly recheck: () => Refusal | undefined
}

/** Result of the loop. `attempts` counts the attempts that were started, hedges included. */
export interface AttemptReport {
  readonly attempts: number
  readonly result: Result<ReadyAttempt, Refusal>
}

const RETRYABLE_STATUSES: ReadonlySet<number> = new Set([502, 503, 504])
const BODY_NOT_READ: ReadonlySet<AttemptFailureCode> = new Set(['connect_refused', 'connect_timeout', 'too_many_connections'])

/** Runs the attempts of one request in sequence, each with at most one hedge in parallel. */
export class AttemptLoop {
  private readonly tried: string[] = []
  private attempts = 0
  /** Set once an attempt may have run at an upstream, and never cleared: later attempts cannot prove the contrary. */
  private mayHaveRun = false

  private constructor (
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private readonly balancer: Balancer,
    private readonly settings: AttemptSettings,
    private readonly plan: AttemptPlan
  ) {}

  static create (clock: Clock, random: RandomSource, balancer: Balancer, settings: AttemptSettings, plan: AttemptPlan): AttemptLoop {
    return new AttemptLoop(clock, random, balancer, settings, plan)
  }

  async run (): Promise<AttemptReport> {
    this.plan.policy.countRequest()
    const result = await this.runUntilFinal()
    return { attempts: this.attempts, result }
  }

  private async runUntilFinal (): Promise<Result<ReadyAttempt, Refusal>> {
    let last: AttemptFailure | undefined
    for (;;) {
      const refusal = this.plan.recheck()
      if (refusal !== undefined) return Err(this.correctRunState(refusal))
      const attempt = this.pick()
      if (attempt.isErr()) return Err(last === undefined ? attempt.error : this.refusalOf(last))
      const ready = await this.runWithHedge(attempt.value)
      if (ready.isOk() && !RETRYABLE_STATUSES.has(ready.value.answer.status)) return ready
      last = ready.isOk() ? AttemptFailure.create('closed_after_sending', 'the upstream responded with a retryable status') : ready.error
      this.mayHaveRun ||= !last.provenNotRun
      if (!this.mayRetry(last) || !await this.backOff()) return ready.isOk() ? ready : Err(this.refusalOf(last))
      if (ready.isOk()) ready.value.answer.discard()
      const blocked = await this.plan.context.trial.beforeAttempt()
      if (blocked !== undefined) return Err(this.correctRunState(blocked))
    }
  }

  private pick (): Result<Attempt, Refusal> {
    const { pool, idempotent, customer, route, context } = this.plan
    const lease = this.balancer.pick({ pool, idempotent, exclude: this.tried, customer, route })
    if (lease.isErr()) return Err(this.correctRunState(Refusal.create('no_healthy_upstream')))
    this.attempts += 1
    this.tried.push(lease.value.address)
    return Ok(Attempt.create(context, lease.value))
  }

  private mayRetry (failure: AttemptFailure): boolean {
    const { plan } = this
    if (plan.signal.aborted || this.attempts >= this.settings.maximumAttempts) return false
    if (!plan.idempotent && !failure.provenNotRun) return false
    if (BODY_NOT_READ.has(failure.code)) return true
    return plan.replayable && plan.policy.retries.withdraw()
  }

  /** Waits with exponential backoff and jitter. Returns false if the deadline would pass first or the signal aborts. */
  private async backOff (): Promise<boolean> {
    const maximumWait = this.settings.backoffMilliseconds * 2 ** (this.attempts - 1)
    const wait = maximumWait * (0.5 + this.random.next() / 2)
    if (this.clock.monotonicMilliseconds() + wait >= this.plan.deadlineMilliseconds) return false
    await sleep(this.clock, wait, this.plan.signal)
    return !this.plan.signal.aborted
  }

  private async runWithHedge (first: Attempt): Promise<Result<ReadyAttempt, AttemptFailure>> {
    const race = HedgedRace.create(this.clock, this.plan.signal, first)
    const delay = this.plan.policy.hedgeAfterMilliseconds
    if (delay !== undefined && this.plan.idempotent && this.plan.replayable) race.hedgeAfter(delay, () => this.pickHedge())
    return await race.run()
  }

  private pickHedge (): Attempt | undefined {
    const { policy, pool, idempotent, customer, route, context } = this.plan
    if (this.plan.recheck() !== undefined || !policy.hedges.withdraw()) return undefined
    const lease = this.balancer.pick({ pool, idempotent, exclude: this.tried, customer, route })
    if (lease.isOk() && !this.tried.includes(lease.value.address)) {
      this.attempts += 1
      this.tried.push(lease.value.address)
      return Attempt.create(context, lease.value)
    }
    policy.hedges.refund()
    if (lease.isOk()) lease.value.finish({ kind: 'cancelled', milliseconds: 0 })
    return undefined
  }

  private refusalOf (failure: AttemptFailure): Refusal {
    return this.correctRunState(Refusal.create(failure.refusal))
  }

  /** Replaces a refusal that claims "not run" if an earlier attempt may have run. */
  private correctRunState (refusal: Refusal): Refusal {
    if (!this.mayHaveRun || refusal.run === 'unknown') return refusal
    return Refusal.create(refusal.status === 504 ? 'upstream_timeout' : 'upstream_failed')
  }
}

/** Races an attempt against its hedge. The first with a response wins and the other is cancelled. */
class HedgedRace {
  private readonly running: Attempt[] = []
  private resolve: (result: Result<ReadyAttempt, AttemptFailure>) => void = () => {}
  private settled = false
  private timer: Timer | undefined
  private failures: AttemptFailure[] = []
  private hedge: { readonly delayMilliseconds: number, readonly start: () => Attempt | undefined } | undefined

  private constructor (private readonly clock: Clock, private readonly signal: AbortSignal, private readonly first: Attempt) {}

  static create (clock: Clock, signal: AbortSignal, first: Attempt): HedgedRace {
    return new HedgedRace(clock, signal, first)
  }

  hedgeAfter (delayMilliseconds: number, start: () => Attempt | undefined): void {
    this.hedge = { delayMilliseconds, start }
  }

  async run (): Promise<Result<ReadyAttempt, AttemptFailure>> {
    const cancelAll = (): void => this.cancelOthers(undefined, this.signal.reason as AttemptFailure)
    this.signal.addEventListener('abort', cancelAll)
    const result = await new Promise<Result<ReadyAttempt, AttemptFailure>>((resolve) => {
      this.resolve = resolve
      this.start(this.first)
      if (this.hedge !== undefined) this.scheduleHedge(this.hedge)
    })
    if (result.isErr() || result.value.isWhole) this.signal.removeEventListener('abort', cancelAll)
    return result
  }

  private scheduleHedge (hedge: NonNullable<HedgedRace['hedge']>): void {
    this.timer = this.clock.schedule(hedge.delayMilliseconds, () => {
      if (this.settled || this.signal.aborted) return
      const second = hedge.start()
      if (second !== undefined) this.start(second)
    })
  }

  private start (attempt: Attempt): void {
    this.running.push(attempt)
    attempt.run().then((result) => this.onResult(attempt, result), (thrown) => this.onThrown(attempt, thrown))
  }

  private onThrown (attempt: Attempt, thrown: unknown): void {
    this.onResult(attempt, Err(AttemptFailure.create('closed_after_sending', describeError(thrown))))
  }

  private onResult (attempt: Attempt, result: Result<ReadyAttempt, AttemptFailure>): void {
    if (this.settled) return
    if (result.isErr()) this.failures.push(result.error)
    if (result.isErr() && this.failures.length < this.running.length) return
    this.settled = true
    this.timer?.cancel()
    if (this.running.length > 1) this.cancelOthers(attempt, AttemptFailure.create('hedge_lost'))
    this.resolve(result.isOk() ? result : Err(this.mostSevere(result.error)))
  }

  /** Prefers a failure that does not prove "not run" over one that does. */
  private mostSevere (latest: AttemptFailure): AttemptFailure {
    return this.failures.find((failure) => !failure.provenNotRun) ?? latest
  }

  private cancelOthers (kept: Attempt | undefined, reason: AttemptFailure): void {
    for (const attempt of this.running) if (attempt !== kept) attempt.cancel(reason)
  }
}
