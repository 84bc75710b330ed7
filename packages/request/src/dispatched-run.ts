/** Processes one request whose upstreams are chosen by a dispatcher. */
import type { ServingRoute } from '@hickoryspoke/configuration/serving-configuration'
import type { ActiveConfiguration } from '@hickoryspoke/dispatch/active-configuration'
import type { PlacedRequest, PlacementDenied, PlacementClient } from '@hickoryspoke/dispatch/placement-client'
import { spreadReturn } from '@hickoryspoke/dispatch/return-time'
import type { PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { hashName } from '@hickoryspoke/runtime/hashing'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import type { Result } from 'ts-results-es'
import { AttemptFailure } from './attempt-failure.ts'
import { AttemptHistory, type DispatchedOutcome } from './attempt-history.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { CallerMetadata, Dialect } from './dialect.ts'
import { cancelPlacement, DispatchedAttempt, type AttemptResult } from './dispatched-attempt.ts'
import { correctRunState, refusalOfDenial, refusalOfFailure } from './dispatched-refusal.ts'
import { relayDispatchedResponse } from './dispatched-relay.ts'
import { runHedged, type RunningAttempt } from './hedged-attempt.ts'
import { maximumIdleOf } from './kept-connections.ts'
import { Refusal } from './refusal.ts'
import { RequestAdmission, type AdmittedRequest } from './request-admission.ts'
import { ResponseDeadline } from './response-deadline.ts'
import { relayRefusal } from './response-relay.ts'
import type { ServingTable } from './serving-table.ts'
import type { StopDeadline } from './stop-deadline.ts'
import type { UpstreamConnections } from './upstream-connections.ts'
import type { UpstreamResponse } from './upstream-response.ts'

/** Dependencies shared by all requests of an entry. */
export interface DispatchedRunOptions {
  readonly clock: Clock
  readonly random: RandomSource
  readonly dialect: Dialect
  readonly connections: UpstreamConnections
  readonly placementClient: PlacementClient
  readonly inForce: ActiveConfiguration
  /** Tables of the current configuration; undefined before the first. */
  readonly table: () => ServingTable | undefined
  /** Whether a request that may go only to these regions may go through the entry at this IP:PORT; an empty list is no restriction. */
  readonly mayRelayThrough: (relay: string, allowedRegions: readonly string[]) => boolean,
  /** Whether refused callers are told different times to return, in fractions of a second; false by default. */
  readonly spreadsReturns?: boolean | undefined
}

/** An admitted request whose time runs. */
interface TimedRequest extends AdmittedRequest {
  readonly deadline: ResponseDeadline
}

/** An attempt that was sent to an upstream. */
type SentAttempt = RunningAttempt<AttemptResult>

const FIRST_SERVER_ERROR = 500
const FINGERPRINT_MODULUS = 2 ** 48
/** Priority of a request whose customer and route have none; 0 is the most urgent. */
const DEFAULT_PRIORITY = 0
/** Callers that state no deadline, on no known route, are told to return within a third of this. */
const UNSTATED_PATIENCE_MILLISECONDS = 3_000

/** Processes one request from its head to its outcome. */
export class DispatchedRun {
  private readonly caller: CallerMetadata
  private readonly startedAt: number
  private readonly callerGone = new AbortController()
  /** Ends the wait for an upstream; undefined while the request does not wait for one. */
  private wait: AbortController | undefined
  /** Whether an earlier question was charged to the customer's rate, although it brought no upstream. */
  private isCharged = false
  private ticket = 0
  private readonly history = AttemptHistory.create()
  private readonly admission: RequestAdmission

  private constructor (
    private readonly options: DispatchedRunOptions,
    private readonly exchange: CallerExchange,
    private readonly stop: StopDeadline
  ) {
    this.caller = options.dialect.readCaller(exchange.headers)
    this.startedAt = options.clock.monotonicMilliseconds()
    this.admission = RequestAdmission.create(options, exchange, this.caller, stop, this.startedAt)
  }

  static create (options: DispatchedRunOptions, exchange: CallerExchange, stop: StopDeadline): DispatchedRun {
    return new DispatchedRun(options, exchange, stop)
  }

  /** Identifier that the caller gave the request; empty if it gave none. */
  get requestId (): string {
    return this.caller.requestId
  }

  /** The route of the request; undefined while it is not known. */
  get route (): ServingRoute | undefined {
    return this.admission.route
  }

  /** Name of the customer; empty if there is none. */
  get customer (): string {
    return this.admission.customer
  }

  /** Runs the request and sends the response. */
  async execute (): Promise<DispatchedOutcome> {
    const admitted = await this.admission.admit()
    if (admitted.isErr()) return this.refuse(admitted.error)
    const onCallerGone = (): void => this.callerGone.abort(AttemptFailure.create('caller_gone'))
    const { startedAt, caller: { patienceMilliseconds } } = this
    const { timeoutMilliseconds } = admitted.value.route
    const deadline = ResponseDeadline.start(this.options.clock, { startedAt, timeoutMilliseconds, patienceMilliseconds })
    this.exchange.signal.addEventListener('abort', onCallerGone, { once: true })
    try {
      return await this.send({ ...admitted.value, deadline })
    } finally {
      deadline.end()
      this.history.discardUnused()
      this.exchange.signal.removeEventListener('abort', onCallerGone)
    }
  }

  /** If the request waits for an upstream, asks again with the time that is left until the stop. */
  hurry (): void {
    this.isCharged ||= this.wait !== undefined
    this.wait?.abort()
  }

  /** Sends a refusal to the caller. */
  refuse (refusal: Refusal): DispatchedOutcome {
    const { spreadsReturns = false, random } = this.options
    const named = spreadsReturns && refusal.isTimeUsual ? refusal.withRetryAfter(spreadReturn(random.next(), this.patienceMilliseconds)) : refusal
    relayRefusal(this.exchange, named, this.requestId, spreadsReturns)
    return this.outcome(refusal.code, refusal.status)
  }

  /** What the caller has left, as far as it is known. */
  private get patienceMilliseconds (): number {
    if (this.route !== undefined) return this.remaining(this.route)
    return (this.caller.patienceMilliseconds ?? UNSTATED_PATIENCE_MILLISECONDS) - (this.options.clock.monotonicMilliseconds() - this.startedAt)
  }

  private async send (admitted: TimedRequest): Promise<DispatchedOutcome> {
    let ticket = this.nextTicket()
    for (;;) {
      if (this.stop.isTooLateToSend) return await this.respondWithLastResult(admitted, this.correctRunState(Refusal.create('draining')))
      const { placed, isHurried } = await this.waitForPlacement(ticket, admitted)
      if (isHurried && placed.isErr()) {
        // A placement for the earlier question may still arrive.
        ticket = this.nextTicket()
        continue
      }
      if (placed.isErr()) return await this.respondWithLastResult(admitted, this.correctRunState(refusalOfDenial(placed.error)))
      const refusedMeanwhile = this.recheck(admitted)
      if (refusedMeanwhile !== undefined) {
        cancelPlacement(this.options.placementClient, ticket)
        return await this.respondWithLastResult(admitted, refusedMeanwhile)
      }
      const end = await this.attempt(ticket, admitted, placed.value)
      if (end.kind === 'answer' && !this.shouldRetryResponse(admitted, end)) return await this.relay(admitted, end.answer)
      const last = end.kind === 'failure' ? end.failure : undefined
      if (!this.mayRepeat(admitted, end)) return await this.respondWithLastResult(admitted, refusalOfFailure(last, this.history.mayHaveRun))
      const refusedSince = this.recheck(admitted)
      if (refusedSince !== undefined) return await this.respondWithLastResult(admitted, refusedSince)
    }
  }

  private nextTicket (): number {
    this.ticket = this.options.placementClient.nextTicket()
    return this.ticket
  }

  /** The dispatcher may not reply in time, so the wait also ends when a stopping entry can no longer send the request. */
  private async waitForPlacement (ticket: number, admitted: TimedRequest): Promise<{ placed: Result<PlacedRequest, PlacementDenied>, isHurried: boolean }> {
    const wait = new AbortController()
    this.wait = wait
    const lastSend = this.stop.isAnnounced ? this.options.clock.schedule(this.stop.sendMilliseconds, () => wait.abort()) : undefined
    const signal = AbortSignal.any([wait.signal, this.callerGone.signal, admitted.deadline.signal])
    const placed = await this.options.placementClient.place(this.question(ticket, admitted), signal)
    lastSend?.cancel()
    this.wait = undefined
    return { placed, isHurried: wait.signal.aborted }
  }

  /** Ends without another attempt. An earlier upstream response, even an error, is preferred to a refusal. */
  private async respondWithLastResult (admitted: TimedRequest, refusal: Refusal): Promise<DispatchedOutcome> {
    const { lastAnswer } = this.history
    return lastAnswer === undefined ? this.refuse(refusal) : await this.relay(admitted, lastAnswer)
  }

  private async relay (admitted: TimedRequest, answer: UpstreamResponse): Promise<DispatchedOutcome> {
    const report = await relayDispatchedResponse(this.options.dialect, this.exchange, answer, admitted.deadline)
    return this.history.relayed(answer, report, this.startedAt, this.ticket)
  }

  /** Sends the request to the upstream; once it is overdue there and may be repeated, also to a second one. */
  private async attempt (ticket: number, admitted: TimedRequest, placed: PlacedRequest): Promise<AttemptResult> {
    const first = this.start(ticket, admitted, placed)
    if (placed.local || !this.mayHedge(admitted)) return await first.result
    const { result } = await runHedged<AttemptResult, SentAttempt>({
      first,
      overdue: this.options.placementClient.whenOverdue(ticket),
      startSecond: async (signal) => await this.startSecond(admitted, signal),
      isUsable: (end) => end.kind === 'answer' && end.answer.status < FIRST_SERVER_ERROR
    })
    return result
  }

  private start (ticket: number, admitted: TimedRequest, placed: PlacedRequest): SentAttempt {
    const { dialect } = this.options
    const { instance } = placed
    const remainingMilliseconds = this.remaining(admitted.route)
    const attempt = DispatchedAttempt.create(this.options, placed, {
      method: this.exchange.method,
      path: this.exchange.target,
      headers: dialect.upstreamHeaders(this.exchange.headers, { instance, customer: this.customer, remainingMilliseconds }),
      body: admitted.body.forAttempt(),
      maximumIdleMilliseconds: this.maximumIdle(admitted, placed),
      acceptsCloseDelimited: true,
      mayRelayThrough: (relay) => this.options.mayRelayThrough(relay, this.admission.allowedRegions),
      mayStillSend: () => this.recheck(admitted) === undefined && this.options.placementClient.mayUse(instance, this.admission.allowedRegions)
    }, this.caller)
    const cancellation = new AbortController()
    this.history.begin(placed)
    const run = async (): Promise<AttemptResult> => {
      const unusable = AbortSignal.any([cancellation.signal, this.callerGone.signal])
      const end = await admitted.deadline.untilReady(unusable, async (signal) => await attempt.run(ticket, signal))
      this.history.end(placed, attempt, end)
      return end
    }
    return { result: run(), cancel: () => cancellation.abort(AttemptFailure.create('hedge_lost')) }
  }

  /** Sends the request to another upstream while the first attempt runs; undefined if it may not be or the first one ended. */
  private async startSecond (admitted: TimedRequest, signal: AbortSignal): Promise<SentAttempt | undefined> {
    const { placementClient } = this.options
    const ticket = placementClient.nextTicket()
    const placed = await placementClient.place(this.question(ticket, admitted), AbortSignal.any([signal, this.callerGone.signal, admitted.deadline.signal]))
    if (placed.isErr()) return undefined
    if (!signal.aborted && this.recheck(admitted) === undefined) return this.start(ticket, admitted, placed.value)
    cancelPlacement(placementClient, ticket)
    return undefined
  }

  /** An upstream's server error is relayed unless the request can be retried. */
  private shouldRetryResponse (admitted: TimedRequest, end: Extract<AttemptResult, { kind: 'answer' }>): boolean {
    return end.answer.status >= FIRST_SERVER_ERROR && this.canRetry(admitted)
  }

  private mayRepeat (admitted: TimedRequest, end: AttemptResult): boolean {
    // Another upstream is out of reach as well.
    if (end.kind === 'failure' && end.failure.code === 'entry_cut_off') return false
    if (end.kind === 'failure' && end.failure.provenNotRun) return admitted.body.isReplayable && !this.isExhausted(admitted)
    return this.canRetry(admitted)
  }

  private canRetry (admitted: TimedRequest): boolean {
    return admitted.route.mayRepeat && admitted.body.isReplayable && !this.isExhausted(admitted)
  }

  /** Whether a second attempt may run beside the one that was just begun. */
  private mayHedge (admitted: TimedRequest): boolean {
    return this.canRetry(admitted) && this.attemptsBegun < admitted.route.maximumAttempts
  }

  private get attemptsBegun (): number {
    return this.history.attempts + this.history.running
  }

  private isExhausted (admitted: TimedRequest): boolean {
    if (this.callerGone.signal.aborted || admitted.deadline.signal.aborted) return true
    return this.history.attempts >= admitted.route.maximumAttempts || this.remaining(admitted.route) <= 0
  }

  private maximumIdle (admitted: TimedRequest, placed: PlacedRequest): number {
    if (!this.options.connections.keepsAsStated) return 0
    const mayRetry = this.canRetry(admitted) && admitted.route.maximumAttempts > 1
    return maximumIdleOf({ mayRetry, attemptsBegun: this.attemptsBegun, isPlacedLocally: placed.local })
  }

  /** Returns why an admitted request may not be sent any more; undefined if it may. */
  private recheck (admitted: TimedRequest): Refusal | undefined {
    const refusal = this.admission.recheck(admitted)
    return refusal === undefined ? undefined : this.correctRunState(refusal)
  }

  private question (ticket: number, admitted: TimedRequest): PlacementQuestion {
    const { route, customer, pool } = admitted
    const elapsed = this.options.clock.monotonicMilliseconds() - this.startedAt
    const patienceMilliseconds = Math.min(this.remaining(route), this.stop.responseMilliseconds)
    return {
      ticket,
      pool,
      customer: customer?.name ?? '',
      priority: customer?.priority ?? route.priority ?? DEFAULT_PRIORITY,
      mayRepeat: route.mayRepeat,
      targetMilliseconds: Math.round(route.targetMilliseconds - elapsed),
      patienceMilliseconds: Math.max(0, Math.round(patienceMilliseconds)),
      excluded: [...this.history.excluded],
      attempt: this.attemptsBegun,
      fingerprint: hashName([this.customer, this.exchange.method, this.exchange.target, this.admission.bodyDigest(admitted)].join('\n')) % FINGERPRINT_MODULUS,
      route: route.name,
      charged: this.history.excluded.length > 0 || this.isCharged,
      allowedRegions: [...this.admission.allowedRegions],
      bodyBytes: admitted.body.bytes
    }
  }

  /** Time left until the route's timeout or the caller's deadline, whichever is earlier. */
  private remaining (route: ServingRoute): number {
    const elapsed = this.options.clock.monotonicMilliseconds() - this.startedAt
    return Math.min(route.timeoutMilliseconds, this.caller.patienceMilliseconds ?? Infinity) - elapsed
  }

  private correctRunState (refusal: Refusal): Refusal {
    return correctRunState(refusal, this.history.mayHaveRun)
  }

  private outcome (code: string, status: number): DispatchedOutcome {
    return this.history.outcome(code, status, this.ticket)
  }
}
