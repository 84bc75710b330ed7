import { Err, Ok, type Result } from 'ts-results-es'
import type { ReadyAttempt } from './attempt.ts'
import { AttemptLoop, DEFAULT_ATTEMPT_SETTINGS, type AttemptReport } from './attempt-loop.ts'
import type { CallerExchange } from './caller-exchange.ts'
import { REASON_LIMITED, type ClaimEnd, type ClaimTicket, type CrashTrial, type QueuePermit } from './collaborators.ts'
import type { PoolPolicies } from './pool-policy.ts'
import { Refusal, REFUSALS } from './refusal.ts'
import { DEFAULT_BODY_LIMITS, RequestBody } from './request-body.ts'
import { RequestDeadline } from './request-deadline.ts'
import { contentFingerprint, crashFingerprint } from './request-fingerprint.ts'
import type { GatedRequest, RequestGate } from './request-gate.ts'
import type { RequestRunnerOptions } from './request-runner-options.ts'
import { relayResponse, relayRefusal, replayResponse, storableResponse } from './response-relay.ts'
import type { StopDeadline } from './stop-deadline.ts'

/** Largest body of a request with an Idempotency-Key. The body is buffered, because its digest must be known before it is sent. */
export const MAXIMUM_CLAIMED_BODY_BYTES = 1_048_576

const IDEMPOTENT_IDLE_MILLISECONDS = 4000
const NON_IDEMPOTENT_IDLE_MILLISECONDS = 1000

/** For a pool without a queue. */
const FREE_PERMIT: QueuePermit = { release: () => {} }
const NO_CRASH_TRIAL: CrashTrial = { beforeAttempt: () => Promise.resolve(undefined), finish: () => false, end: () => {} }

/** Outcome of a request. `code` is that of the refusal, or how the response ended: `answered`, `stored_answer` or `broken_off`. */
export interface RequestOutcome {
  readonly code: string
  readonly status: number
  readonly attempts: number
}

/** Dependencies of a run: those of its runner, and what all runs of the runner share. */
export interface RequestRunOptions extends RequestRunnerOptions {
  readonly gate: RequestGate
  readonly policies: PoolPolicies
  readonly stop: StopDeadline
}

/** Processes one request, from its head to its outcome. */
export class RequestRun {
  private request: GatedRequest | undefined
  private ticket: ClaimTicket | undefined
  /** Ends the wait in the queue. */
  private readonly queueWait = new AbortController()

  private constructor (private readonly options: RequestRunOptions, private readonly exchange: CallerExchange, private readonly requestId: string) {}

  static create (options: RequestRunOptions, exchange: CallerExchange, requestId: string): RequestRun {
    return new RequestRun(options, exchange, requestId)
  }

  get customer (): string {
    return this.request?.customer ?? ''
  }

  get pool (): string {
    return this.request?.route.pool ?? ''
  }

  async execute (): Promise<RequestOutcome> {
    try {
      return await this.follow()
    } catch {
      this.finishClaim({ kind: 'unknown' })
      return this.refuse(Refusal.create('internal_error'))
    }
  }

  /** Refuses the request if it still waits in the queue, as its entry stops. */
  stopWaiting (): void {
    this.queueWait.abort()
  }

  /** Sends a refusal to the caller. */
  refuse (refusal: Refusal, attempts = 0): RequestOutcome {
    relayRefusal(this.exchange, refusal, this.requestId)
    return { code: refusal.code, status: refusal.status, attempts }
  }

  private async follow (): Promise<RequestOutcome> {
    const gated = this.options.gate.examine(this.exchange)
    if (gated.isErr()) return this.refuse(gated.error)
    this.request = gated.value
    const admitted = await this.admit(gated.value)
    if (admitted !== undefined) return this.refuse(admitted)
    const body = await this.readBody(gated.value)
    if (body.isErr()) return this.refuse(body.error)
    const claimed = await this.claim(gated.value, body.value)
    if (claimed !== undefined) return claimed
    const trial = await this.beginTrial(gated.value, body.value)
    if (trial.isErr()) {
      this.finishClaim({ kind: 'not_run' })
      return this.refuse(trial.error)
    }
    const finished = await this.runInPool(gated.value, body.value, trial.value)
    trial.value.end()
    return finished
  }

  private async admit (request: GatedRequest): Promise<Refusal | undefined> {
    if (request.route.open) return undefined
    const decision = await this.options.admission.admit(request.customer)
    if (decision.admitted) return undefined
    const code = decision.reason === REASON_LIMITED ? 'rate_exceeded' : 'rate_unavailable'
    return Refusal.create(code, `${REFUSALS[code].title} (${decision.reason})`, decision.retryAfterMilliseconds)
  }

  private async readBody (request: GatedRequest): Promise<Result<RequestBody, Refusal>> {
    const limits = this.options.bodyLimits ?? DEFAULT_BODY_LIMITS
    const isClaimed = request.idempotencyKey !== undefined
    const bufferBytes = isClaimed ? MAXIMUM_CLAIMED_BODY_BYTES : limits.replayBytes
    const body = await RequestBody.read(this.exchange, limits, bufferBytes)
    if (body.isOk() && isClaimed && !body.value.isReplayable) return Err(Refusal.create('body_too_large', 'too large for an Idempotency-Key'))
    return body
  }

  private async beginTrial (request: GatedRequest, body: RequestBody): Promise<Result<CrashTrial, Refusal>> {
    if (this.options.crashes === undefined) return Ok(NO_CRASH_TRIAL)
    return await this.options.crashes.begin(crashFingerprint(request.customer, this.exchange.method, request.path, body))
  }

  /** Claims the Idempotency-Key. Returns the outcome of the request if it must not run, otherwise undefined. */
  private async claim (request: GatedRequest, body: RequestBody): Promise<RequestOutcome | undefined> {
    const { customer, idempotencyKey } = request
    if (idempotencyKey === undefined) return undefined
    if (this.options.claims === undefined) return this.refuse(Refusal.create('claim_unavailable'))
    const fingerprint = contentFingerprint(this.exchange.method, request.upstreamPath, body)
    const decision = await this.options.claims.claim({ customer, idempotencyKey, fingerprint, signal: this.exchange.signal })
    switch (decision.kind) {
      case 'granted':
        this.ticket = decision.ticket
        return this.exchange.signal.aborted ? this.releaseClaim() : undefined
      case 'stored':
        replayResponse(this.exchange, decision.answer, this.requestId)
        return { code: 'stored_answer', status: decision.answer.status, attempts: 0 }
      case 'conflict': return this.refuse(Refusal.create('claim_conflict'))
      case 'content_differs': return this.refuse(Refusal.create('claim_content_differs'))
      case 'unavailable': return this.refuse(Refusal.create('claim_unavailable'))
    }
  }

  /** Releases the claim of a caller that disconnected while it was recorded, so that the key can be used for a retry. */
  private releaseClaim (): RequestOutcome {
    this.finishClaim({ kind: 'not_run' })
    return this.refuse(Refusal.create('caller_gone_before_sending'))
  }

  private async runInPool (request: GatedRequest, body: RequestBody, trial: CrashTrial): Promise<RequestOutcome> {
    const deadline = RequestDeadline.create(this.options.clock, request, this.exchange)
    const permit = await this.enterQueue(request, deadline)
    if (permit.isErr()) {
      deadline.clear()
      this.finishClaim({ kind: 'not_run' })
      return this.refuse(permit.error)
    }
    const started = this.options.clock.monotonicMilliseconds()
    try {
      return await this.attempt(request, body, trial, deadline)
    } finally {
      deadline.clear()
      permit.value.release(this.options.clock.monotonicMilliseconds() - started)
    }
  }

  private async enterQueue (request: GatedRequest, deadline: RequestDeadline): Promise<Result<QueuePermit, Refusal>> {
    const { queue, stop } = this.options
    if (stop.isTooLateToSend) return Err(Refusal.create('draining'))
    if (queue === undefined) return Ok(FREE_PERMIT)
    const signal = AbortSignal.any([deadline.signal, this.queueWait.signal])
    const permit = await queue.enter({ customer: request.customer, pool: request.route.pool, deadlineMilliseconds: deadline.atMilliseconds, signal })
    return permit.mapErr(({ message }) => this.queueWait.signal.aborted ? Refusal.create('draining') : Refusal.create('overloaded', message))
  }

  /** Called before each attempt; returns a refusal if the request may no longer be sent. */
  private recheck (request: GatedRequest): Refusal | undefined {
    return this.options.stop.isTooLateToSend ? Refusal.create('draining') : this.options.gate.recheck(request)
  }

  private async attempt (request: GatedRequest, body: RequestBody, trial: CrashTrial, deadline: RequestDeadline): Promise<RequestOutcome> {
    const report = await this.runAttempts(request, body, trial, deadline)
    deadline.headArrived()
    if (report.result.isErr()) {
      const refusal = body.grewTooLarge ? Refusal.create('body_too_large_while_sending') : report.result.error
      this.finishClaim(refusal.run === 'not-run' ? { kind: 'not_run' } : { kind: 'unknown' })
      return this.refuse(refusal, report.attempts)
    }
    return await this.relay(request, report.result.value, report.attempts)
  }

  private async relay (request: GatedRequest, ready: ReadyAttempt, attempts: number): Promise<RequestOutcome> {
    if (ready.isWhole) this.finishClaim({ kind: 'answered', answer: this.ticket === undefined ? undefined : storableResponse(ready) })
    const stallMilliseconds = request.route.timeout_milliseconds
    const isWhole = await relayResponse(this.options.clock, this.exchange, ready, this.requestId, stallMilliseconds)
    this.finishClaim({ kind: 'answered', answer: undefined })
    return { code: isWhole ? 'answered' : 'broken_off', status: ready.answer.status, attempts }
  }

  private async runAttempts (request: GatedRequest, body: RequestBody, trial: CrashTrial, deadline: RequestDeadline): Promise<AttemptReport> {
    const { clock, random, balancer, connections } = this.options
    const policy = this.options.policies.of(request.route.pool)
    const loop = AttemptLoop.create(clock, random, balancer, this.options.attempts ?? DEFAULT_ATTEMPT_SETTINGS, {
      pool: request.route.pool,
      customer: request.customer,
      route: request.route.path,
      idempotent: request.idempotent,
      replayable: body.isReplayable,
      deadlineMilliseconds: deadline.atMilliseconds,
      signal: deadline.signal,
      policy,
      recheck: () => this.recheck(request),
      context: {
        clock,
        connections,
        trial,
        recordResponseTime: (milliseconds) => policy.recordResponseTime(milliseconds),
        request: {
          method: this.exchange.method,
          path: request.upstreamPath,
          headers: this.upstreamHeaders(request, deadline),
          body: body.forAttempt(),
          maximumOpen: () => this.options.connectionsPerUpstream?.(request.route.pool) ?? Infinity,
          maximumIdleMilliseconds: request.idempotent ? IDEMPOTENT_IDLE_MILLISECONDS : NON_IDEMPOTENT_IDLE_MILLISECONDS
        }
      }
    })
    return await loop.run()
  }

  private upstreamHeaders (request: GatedRequest, deadline: RequestDeadline): string[] {
    const headers = [...request.headers]
    headers.push('hickoryspoke-request', this.requestId)
    headers.push('hickoryspoke-deadline-milliseconds', String(deadline.remainingMilliseconds()))
    if (request.customer !== '') headers.push('hickoryspoke-customer', request.customer)
    return headers
  }

  private finishClaim (end: ClaimEnd): void {
    this.ticket?.finish(end)
    this.ticket = undefined
  }
}
