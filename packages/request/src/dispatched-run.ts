/** The way of one request whose upstreams a dispatcher chooses, written straight down. */
import type { ServingCustomer, ServingRoute } from '@hickoryspoke/configuration/serving-configuration'
import type { ActiveConfiguration } from '@hickoryspoke/dispatch/active-configuration'
import type { PlacedRequest, PlacementDenied, PlacementClient } from '@hickoryspoke/dispatch/placement-client'
import { DenialReason, type PlacementQuestion } from '@hickoryspoke/protocol/generated/dispatch'
import { sleep, type Clock } from '@hickoryspoke/runtime/clock'
import { hashName } from '@hickoryspoke/runtime/hashing'
import type { RandomSource } from '@hickoryspoke/runtime/random'
import { Err, Ok, type Result } from 'ts-results-es'
import { relayRefusal } from './answer-relay.ts'
import { AttemptFailure } from './attempt-failure.ts'
import type { CallerExchange } from './caller-exchange.ts'
import type { CallerFacts, Dialect } from './dialect.ts'
import { cancelPlacement, DispatchedAttempt, type AttemptEnd } from './dispatched-attempt.ts'
import { relayDispatched } from './dispatched-relay.ts'
import { Refusal, type RefusalCode } from './refusal.ts'
import { RequestBody } from './request-body.ts'
import { drawPool, type ServingTable } from './serving-table.ts'
import type { UpstreamAnswer } from './upstream-answer.ts'
import type { UpstreamConnections } from './upstream-connections.ts'

/** What every request of an entry shares. */
export interface DispatchedParts {
  readonly clock: Clock
  readonly random: RandomSource
  readonly dialect: Dialect
  readonly connections: UpstreamConnections
  readonly desk: PlacementClient
  readonly inForce: ActiveConfiguration
  /** Tables of the configuration held now; undefined before the first. */
  readonly table: () => ServingTable | undefined
}

/** How a request ended, for the log. */
export interface DispatchedEnd {
  readonly code: string
  readonly status: number
  readonly attempts: number
  readonly instance: string
  readonly local: boolean
  /** Number of the question to the dispatcher; 0 when none was asked. */
  readonly ticket: number
  /** Why the last attempt failed; empty when none did. */
  readonly failure: string
}

interface Admitted {
  readonly route: ServingRoute
  readonly customer: ServingCustomer | undefined
  readonly pool: string
  readonly body: RequestBody
}

/** A freshness lost for longer than this will not be back at once. */
const RECOVERY_MILLISECONDS = 2_500
/** Part of the caller's patience that may pass before the entry can serve. */
const RECOVERY_SHARE_OF_PATIENCE = 0.4
const SHORTEST_RECOVERY_MILLISECONDS = 300
const FRESH_CHECK_MILLISECONDS = 20
const REPLAY_BYTES = 65_536
const FINGERPRINT_MODULUS = 2 ** 48
const URGENT_BY_DEFAULT = 0
const RETRY_AFTER_MILLISECONDS = 500

const REFUSAL_BY_DENIAL: Readonly<Record<DenialReason, RefusalCode>> = {
  [DenialReason.DENIAL_REASON_UNSPECIFIED]: 'overloaded',
  [DenialReason.DENIAL_REASON_RATE]: 'rate_exceeded',
  [DenialReason.DENIAL_REASON_OVERLOADED]: 'overloaded',
  [DenialReason.DENIAL_REASON_NO_UPSTREAM]: 'no_healthy_upstream',
  [DenialReason.DENIAL_REASON_CRASHING]: 'crash_check_pending',
  [DenialReason.DENIAL_REASON_BUDGET]: 'overloaded'
}

/** One request from its head to its one end. */
export class DispatchedRun {
  private readonly caller: CallerFacts
  private readonly startedAt: number
  private readonly expiry = new AbortController()
  private attempts = 0
  private instance = ''
  private local = false
  private ticket = 0
  private failure = ''
  private mayHaveRun = false
  private lastAnswer: UpstreamAnswer | undefined
  private readonly excluded: string[] = []
  route: ServingRoute | undefined
  customer = ''

  private constructor (private readonly parts: DispatchedParts, private readonly exchange: CallerExchange) {
    this.caller = parts.dialect.readCaller(exchange.headers)
    this.startedAt = parts.clock.monotonicMilliseconds()
  }

  static create (parts: DispatchedParts, exchange: CallerExchange): DispatchedRun {
    return new DispatchedRun(parts, exchange)
  }

  /** Name of the request; the caller's own where it gave one. */
  get requestId (): string {
    return this.caller.requestId
  }

  /** Runs the request and answers it. */
  async toEnd (): Promise<DispatchedEnd> {
    const admitted = await this.admit()
    if (admitted.isErr()) return this.refuse(admitted.error)
    const leave = (): void => this.expiry.abort(AttemptFailure.create('caller_gone'))
    const timer = this.parts.clock.schedule(this.remaining(admitted.value.route), () => this.expiry.abort(AttemptFailure.create('deadline_over')))
    this.exchange.signal.addEventListener('abort', leave, { once: true })
    try {
      return await this.send(admitted.value)
    } finally {
      timer.cancel()
      this.exchange.signal.removeEventListener('abort', leave)
    }
  }

  /** Gives a refusal to the caller. */
  refuse (refusal: Refusal): DispatchedEnd {
    relayRefusal(this.exchange, refusal, this.requestId)
    return this.ended(refusal.code, refusal.status)
  }

  private async admit (): Promise<Result<Admitted, Refusal>> {
    if (!await this.untilFresh()) return Err(Refusal.create('not_fresh', undefined, RETRY_AFTER_MILLISECONDS))
    const examined = this.examine()
    if (examined.isErr()) return examined
    const limits = { maximumBytes: this.parts.inForce.configuration?.bounds.maximumBodyBytes ?? 0, replayBytes: REPLAY_BYTES }
    const body = await RequestBody.read(this.exchange, limits, REPLAY_BYTES)
    if (body.isErr()) return body
    const { route, customer } = examined.value
    const pool = drawPool(route, this.parts.random)
    if (pool === undefined) return Err(Refusal.create('no_healthy_upstream'))
    return Ok({ route, customer, pool, body: body.value })
  }

  /** Route and customer under the configuration held now. */
  private examine (): Result<{ route: ServingRoute, customer: ServingCustomer | undefined }, Refusal> {
    const table = this.parts.table()
    if (table === undefined) return Err(Refusal.create('not_fresh', 'no configuration is known yet', RETRY_AFTER_MILLISECONDS))
    const route = table.findRoute(this.exchange.host, this.exchange.target)
    if (route === undefined) return Err(Refusal.create('no_route'))
    this.route = route
    if (route.open || !table.configuration.keyed) return Ok({ route, customer: undefined })
    const customer = this.caller.key === undefined ? undefined : table.ownerOf(this.caller.key)
    this.customer = customer?.name ?? ''
    return customer === undefined ? Err(Refusal.create('unauthorized')) : Ok({ route, customer })
  }

  private async untilFresh (): Promise<boolean> {
    const { clock, inForce } = this.parts
    const patience = this.caller.patienceMilliseconds ?? SHORTEST_RECOVERY_MILLISECONDS
    const until = this.startedAt + Math.max(SHORTEST_RECOVERY_MILLISECONDS, RECOVERY_SHARE_OF_PATIENCE * patience)
    while (!inForce.isFresh()) {
      const isHopeless = inForce.staleMilliseconds() > RECOVERY_MILLISECONDS
      if (isHopeless || clock.monotonicMilliseconds() >= until || this.exchange.signal.aborted) return false
      await sleep(clock, FRESH_CHECK_MILLISECONDS)
    }
    return true
  }

  private async send (admitted: Admitted): Promise<DispatchedEnd> {
    const ticket = this.parts.desk.nextTicket()
    this.ticket = ticket
    for (;;) {
      const placed = await this.parts.desk.place(this.question(ticket, admitted), this.expiry.signal)
      if (placed.isErr()) return await this.giveUp(admitted, this.refusalOfDenial(placed.error))
      const changed = this.changedMeanwhile(admitted)
      if (changed !== undefined) {
        cancelPlacement(this.parts.desk, ticket)
        return await this.giveUp(admitted, changed)
      }
      const end = await this.attempt(ticket, admitted, placed.value)
      if (end.kind === 'answer') this.lastAnswer = end.answer
      if (end.kind === 'answer' && !this.isWorthRepeating(admitted, end)) return await this.relay(admitted, end.answer)
      const last = end.kind === 'failure' ? end.failure : undefined
      if (!this.mayRepeat(admitted, end)) return await this.giveUp(admitted, this.refusalOfFailure(last))
    }
  }

  /** An earlier answer of an upstream, if only an error, goes before a refusal. */
  private async giveUp (admitted: Admitted, refusal: Refusal): Promise<DispatchedEnd> {
    return this.lastAnswer === undefined ? this.refuse(refusal) : await this.relay(admitted, this.lastAnswer)
  }

  private async relay (admitted: Admitted, answer: UpstreamAnswer): Promise<DispatchedEnd> {
    const whole = await relayDispatched(this.parts, this.exchange, answer, admitted.route.timeoutMilliseconds)
    return this.ended(whole ? 'answered' : 'broken_off', answer.status)
  }

  private async attempt (ticket: number, admitted: Admitted, placed: PlacedRequest): Promise<AttemptEnd> {
    const { instance, local } = placed
    this.instance = instance
    this.local = local
    const { dialect } = this.parts
    const remainingMilliseconds = this.remaining(admitted.route)
    const attempt = DispatchedAttempt.create(this.parts, placed, {
      method: this.exchange.method,
      path: this.exchange.target,
      headers: dialect.upstreamHeaders(this.exchange.headers, { instance, customer: this.customer, remainingMilliseconds }),
      body: admitted.body.forAttempt(),
      maximumIdleMilliseconds: 0,
      takesUnframed: true
    }, this.caller)
    const end = await attempt.run(ticket, this.expiry.signal)
    if (end.arrived) this.attempts += 1
    this.failure = end.kind === 'failure' ? `${end.failure.code}: ${end.failure.message}` : ''
    if (end.kind === 'answer' || !end.failure.provenNotRun) this.mayHaveRun = true
    this.excluded.push(instance)
    return end
  }

  /** An upstream's own error is given to the caller unless another upstream may be asked. */
  private isWorthRepeating (admitted: Admitted, end: Extract<AttemptEnd, { kind: 'answer' }>): boolean {
    return end.answer.status >= 500 && this.canRepeat(admitted)
  }

  private mayRepeat (admitted: Admitted, end: AttemptEnd): boolean {
    if (end.kind === 'failure' && end.failure.provenNotRun) return admitted.body.isReplayable && !this.isOver(admitted)
    return this.canRepeat(admitted)
  }

  private canRepeat (admitted: Admitted): boolean {
    const { route, body } = admitted
    return route.mayRepeat && body.isReplayable && this.attempts < route.maximumAttempts && !this.isOver(admitted)
  }

  private isOver (admitted: Admitted): boolean {
    return this.expiry.signal.aborted || this.attempts >= admitted.route.maximumAttempts || this.remaining(admitted.route) <= 0
  }

  /** The route or key may have been withdrawn while the request waited. */
  private changedMeanwhile (admitted: Admitted): Refusal | undefined {
    if (!this.parts.inForce.isFresh()) return this.truthful(Refusal.create('not_fresh', undefined, RETRY_AFTER_MILLISECONDS))
    const again = this.examine()
    if (again.isErr()) return this.truthful(again.error)
    const stillThere = again.value.route.shares.some((share) => share.pool === admitted.pool && share.weight > 0)
    return stillThere ? undefined : this.truthful(Refusal.create('no_healthy_upstream', undefined, RETRY_AFTER_MILLISECONDS))
  }

  private question (ticket: number, { route, customer, pool, body }: Admitted): PlacementQuestion {
    const elapsed = this.parts.clock.monotonicMilliseconds() - this.startedAt
    return {
      ticket,
      pool,
      customer: customer?.name ?? '',
      priority: customer?.priority ?? route.priority ?? URGENT_BY_DEFAULT,
      mayRepeat: route.mayRepeat,
      targetMilliseconds: Math.round(route.targetMilliseconds - elapsed),
      patienceMilliseconds: Math.max(0, Math.round(this.remaining(route))),
      excluded: this.excluded,
      attempt: this.attempts,
      fingerprint: hashName([this.customer, this.exchange.method, this.exchange.target, body.headDigest(REPLAY_BYTES)].join('\n')) % FINGERPRINT_MODULUS,
      route: route.name,
      charged: this.excluded.length > 0
    }
  }

  /** Milliseconds until the route's timeout or the caller's deadline. */
  private remaining (route: ServingRoute): number {
    const elapsed = this.parts.clock.monotonicMilliseconds() - this.startedAt
    return Math.min(route.timeoutMilliseconds, this.caller.patienceMilliseconds ?? Infinity) - elapsed
  }

  private refusalOfDenial (denied: PlacementDenied): Refusal {
    return this.truthful(Refusal.create(REFUSAL_BY_DENIAL[denied.reason], undefined, denied.retryAfterMilliseconds))
  }

  private refusalOfFailure (failure: AttemptFailure | undefined): Refusal {
    if (failure === undefined) return Refusal.create('upstream_failed')
    if (failure.provenNotRun) return this.truthful(Refusal.create('upstream_refused', undefined, RETRY_AFTER_MILLISECONDS))
    return Refusal.create(failure.refusal)
  }

  /** Once an attempt may have run, no refusal says that the request did not. */
  private truthful (refusal: Refusal): Refusal {
    return this.mayHaveRun ? Refusal.create('upstream_failed') : refusal
  }

  private ended (code: string, status: number): DispatchedEnd {
    return { code, status, attempts: this.attempts, instance: this.instance, local: this.local, ticket: this.ticket, failure: this.failure }
  }
}
