import { Err, Ok, type Result } from 'ts-results-es'
import { relayAnswer, relayRefusal, replayAnswer, storableAnswer } from './answer-relay.ts'
import type { ReadyAttempt } from './attempt.ts'
import { AttemptLoop, DEFAULT_ATTEMPT_SETTINGS, type AttemptReport } from './attempt-loop.ts'
import type { CallerExchange } from './caller-exchange.ts'
import { REASON_LIMITED, type ClaimEnd, type ClaimTicket, type CrashTrial } from './collaborators.ts'
import type { PoolPolicies } from './pool-policy.ts'
import { Refusal, REFUSALS } from './refusal.ts'
import { DEFAULT_BODY_LIMITS, RequestBody } from './request-body.ts'
import { RequestDeadline } from './request-deadline.ts'
import { contentFingerprint, crashFingerprint } from './request-fingerprint.ts'
import type { GatedRequest, RequestGate } from './request-gate.ts'
import type { RequestRunnerParts } from './request-runner-parts.ts'

/** Largest body in bytes of a request with an Idempotency-Key; its digest must be known before it is sent. */
export const CLAIMED_BODY_BYTES = 1_048_576

const IDLE_FOR_IDEMPOTENT_MILLISECONDS = 4000
const IDLE_FOR_OTHERS_MILLISECONDS = 1000

const UNWATCHED: CrashTrial = { again: () => Promise.resolve(undefined), finish: () => false, end: () => {} }

/** The one end of a request. `code` is `answered` or says why there is no whole answer. */
export interface Finished {
  readonly code: string
  readonly status: number
  readonly attempts: number
}

/** The way of one request, written straight down. */
export class RequestRun {
  private request: GatedRequest | undefined
  private ticket: ClaimTicket | undefined

  private constructor (
    private readonly parts: RequestRunnerParts,
    private readonly gate: RequestGate,
    private readonly policies: PoolPolicies,
    private readonly exchange: CallerExchange,
    private readonly requestId: string
  ) {}

  static create (parts: RequestRunnerParts, gate: RequestGate, policies: PoolPolicies, exchange: CallerExchange, requestId: string): RequestRun {
    return new RequestRun(parts, gate, policies, exchange, requestId)
  }

  get customer (): string {
    return this.request?.customer ?? ''
  }

  get pool (): string {
    return this.request?.route.pool ?? ''
  }

  async toEnd (): Promise<Finished> {
    try {
      return await this.follow()
    } catch {
      this.finishClaim({ kind: 'unknown' })
      return this.refuse(Refusal.create('internal_error'))
    }
  }

  /** Gives a refusal to the caller. */
  refuse (refusal: Refusal, attempts = 0): Finished {
    relayRefusal(this.exchange, refusal, this.requestId)
    return { code: refusal.code, status: refusal.status, attempts }
  }

  private async follow (): Promise<Finished> {
    const gated = this.gate.examine(this.exchange)
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
    const decision = await this.parts.admission.admit(request.customer)
    if (decision.admitted) return undefined
    const code = decision.reason === REASON_LIMITED ? 'rate_exceeded' : 'rate_unavailable'
    return Refusal.create(code, `${REFUSALS[code].title} (${decision.reason})`, decision.retryAfterMilliseconds)
  }

  private async readBody (request: GatedRequest): Promise<Result<RequestBody, Refusal>> {
    const limits = this.parts.bodyLimits ?? DEFAULT_BODY_LIMITS
    const isClaimed = request.idempotencyKey !== undefined
    const keepBytes = isClaimed ? CLAIMED_BODY_BYTES : limits.replayBytes
    const body = await RequestBody.read(this.exchange, limits, keepBytes)
    if (body.isOk() && isClaimed && !body.value.isReplayable) return Err(Refusal.create('body_too_large', 'too large for an Idempotency-Key'))
    return body
  }

  private async beginTrial (request: GatedRequest, body: RequestBody): Promise<Result<CrashTrial, Refusal>> {
    if (this.parts.crashes === undefined) return Ok(UNWATCHED)
    return await this.parts.crashes.begin(crashFingerprint(request.customer, this.exchange.method, request.path, body))
  }

  /** Claims the Idempotency-Key; gives the end of the request unless it may run. */
  private async claim (request: GatedRequest, body: RequestBody): Promise<Finished | undefined> {
    const { customer, idempotencyKey } = request
    if (idempotencyKey === undefined) return undefined
    if (this.parts.claims === undefined) return this.refuse(Refusal.create('claim_unavailable'))
    const fingerprint = contentFingerprint(this.exchange.method, request.upstreamPath, body)
    const decision = await this.parts.claims.claim({ customer, idempotencyKey, fingerprint, signal: this.exchange.signal })
    switch (decision.kind) {
      case 'granted':
        this.ticket = decision.ticket
        return this.exchange.signal.aborted ? this.giveBack() : undefined
      case 'stored':
        replayAnswer(this.exchange, decision.answer, this.requestId)
        return { code: 'stored_answer', status: decision.answer.status, attempts: 0 }
      case 'conflict': return this.refuse(Refusal.create('claim_conflict'))
      case 'content_differs': return this.refuse(Refusal.create('claim_content_differs'))
      case 'unavailable': return this.refuse(Refusal.create('claim_unavailable'))
    }
  }

  /** The caller left while its claim was recorded: the key stays free for its next try. */
  private giveBack (): Finished {
    this.finishClaim({ kind: 'not_run' })
    return this.refuse(Refusal.create('caller_gone_before_sending'))
  }

  private async runInPool (request: GatedRequest, body: RequestBody, trial: CrashTrial): Promise<Finished> {
    const deadline = RequestDeadline.create(this.parts.clock, request, this.exchange)
    const pass = await this.parts.queue?.enter({
      customer: request.customer, pool: request.route.pool, deadlineMilliseconds: deadline.atMilliseconds, signal: deadline.signal
    }) ?? Ok({ release: () => {} })
    if (pass.isErr()) {
      deadline.clear()
      this.finishClaim({ kind: 'not_run' })
      return this.refuse(Refusal.create('overloaded', pass.error.message))
    }
    const started = this.parts.clock.monotonicMilliseconds()
    try {
      return await this.attempt(request, body, trial, deadline)
    } finally {
      deadline.clear()
      pass.value.release(this.parts.clock.monotonicMilliseconds() - started)
    }
  }

  private async attempt (request: GatedRequest, body: RequestBody, trial: CrashTrial, deadline: RequestDeadline): Promise<Finished> {
    const report = await this.runAttempts(request, body, trial, deadline)
    deadline.headArrived()
    if (report.result.isErr()) {
      const refusal = body.grewTooLarge ? Refusal.create('body_too_large_while_sending') : report.result.error
      this.finishClaim(refusal.run === 'not-run' ? { kind: 'not_run' } : { kind: 'unknown' })
      return this.refuse(refusal, report.attempts)
    }
    return await this.relay(request, report.result.value, report.attempts)
  }

  private async relay (request: GatedRequest, ready: ReadyAttempt, attempts: number): Promise<Finished> {
    if (ready.isWhole) this.finishClaim({ kind: 'answered', answer: this.ticket === undefined ? undefined : storableAnswer(ready) })
    const stall = request.route.timeout_milliseconds
    const isWhole = await relayAnswer(this.parts.clock, this.exchange, ready, this.requestId, stall)
    this.finishClaim({ kind: 'answered', answer: undefined })
    return { code: isWhole ? 'answered' : 'broken_off', status: ready.answer.status, attempts }
  }

  private async runAttempts (request: GatedRequest, body: RequestBody, trial: CrashTrial, deadline: RequestDeadline): Promise<AttemptReport> {
    const { clock, random, balancer, connections } = this.parts
    const policy = this.policies.of(request.route.pool)
    const loop = AttemptLoop.create(clock, random, balancer, this.parts.attempts ?? DEFAULT_ATTEMPT_SETTINGS, {
      pool: request.route.pool,
      customer: request.customer,
      route: request.route.path,
      idempotent: request.idempotent,
      replayable: body.isReplayable,
      deadlineMilliseconds: deadline.atMilliseconds,
      signal: deadline.signal,
      policy,
      stillAllowed: () => this.gate.recheck(request),
      context: {
        clock,
        connections,
        trial,
        recordAnswer: (milliseconds) => policy.recordAnswer(milliseconds),
        request: {
          method: this.exchange.method,
          path: request.upstreamPath,
          headers: this.upstreamHeaders(request, deadline),
          body: body.forAttempt(),
          maximumOpen: () => this.parts.connectionsPerUpstream?.(request.route.pool) ?? Infinity,
          maximumIdleMilliseconds: request.idempotent ? IDLE_FOR_IDEMPOTENT_MILLISECONDS : IDLE_FOR_OTHERS_MILLISECONDS
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
