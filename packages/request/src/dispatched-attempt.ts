/** One placed request on its way through its upstream, and what the dispatcher learns from it. */
import type { PlacedRequest, PlacementClient } from '@hickoryspoke/dispatch/placement-client'
import { PlacementOutcome, type UpstreamLoad } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { AttemptFailure, type AttemptEndCode } from './attempt-failure.ts'
import type { AnswerFacts, CallerFacts, Dialect } from './dialect.ts'
import type { UpstreamAnswer } from './upstream-answer.ts'
import type { UpstreamConnections } from './upstream-connections.ts'
import { exchange, type UpstreamRequest } from './upstream-exchange.ts'

/** An answer to show, held whole where it is small; or the reason why there is none. */
export type AttemptEnd =
  | { readonly kind: 'answer', readonly answer: UpstreamAnswer, readonly arrived: true }
  | { readonly kind: 'failure', readonly failure: AttemptFailure, readonly arrived: boolean }

interface AttemptParts {
  readonly clock: Clock
  readonly connections: UpstreamConnections
  readonly dialect: Dialect
  readonly desk: PlacementClient
}

const FIRST_SERVER_ERROR = 500
/** Statuses that promise that the request did not run; only an upstream that proves it may say so. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503])

const OUTCOME_BY_END: Readonly<Partial<Record<AttemptEndCode, PlacementOutcome>>> = {
  connect_refused: PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE,
  connect_timeout: PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE,
  refused_not_run: PlacementOutcome.PLACEMENT_OUTCOME_REFUSED,
  closed_before_sending: PlacementOutcome.PLACEMENT_OUTCOME_UNREACHABLE,
  closed_after_sending: PlacementOutcome.PLACEMENT_OUTCOME_BROKEN,
  malformed_answer: PlacementOutcome.PLACEMENT_OUTCOME_BROKEN,
  truncated_answer: PlacementOutcome.PLACEMENT_OUTCOME_BROKEN,
  deadline_over: PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT,
  stalled_answer: PlacementOutcome.PLACEMENT_OUTCOME_TIMEOUT
}

const NEVER_ARRIVED: ReadonlySet<AttemptEndCode> = new Set([
  'connect_refused', 'connect_timeout', 'too_many_connections', 'aborted_before_sending', 'closed_before_sending'
])

/** Tells the dispatcher that a placement is not used. */
export function cancelPlacement (desk: PlacementClient, ticket: number): void {
  desk.end({ ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED, milliseconds: 0, load: undefined, instance: '' })
}

/** One attempt. */
export class DispatchedAttempt {
  private readonly startedAt: number

  private constructor (
    private readonly parts: AttemptParts,
    private readonly placed: PlacedRequest,
    private readonly request: Omit<UpstreamRequest, 'address'>,
    private readonly caller: CallerFacts
  ) {
    this.startedAt = parts.clock.monotonicMilliseconds()
  }

  static create (
    parts: AttemptParts, placed: PlacedRequest, request: Omit<UpstreamRequest, 'address'>, caller: CallerFacts
  ): DispatchedAttempt {
    return new DispatchedAttempt(parts, placed, request, caller)
  }

  /** Sends the request and resolves when there is an answer to show, or none to be had. */
  async run (ticket: number, signal: AbortSignal): Promise<AttemptEnd> {
    const { clock, connections, dialect } = this.parts
    const head = await exchange(clock, connections, { ...this.request, address: this.placed.address }, signal)
    if (head.isErr()) return this.failed(ticket, head.error, undefined)
    const answer = head.value
    const facts = dialect.readAnswer(answer.status, answer.headers, this.caller)
    const fault = faultOf(answer, facts)
    if (fault !== undefined) {
      answer.abort(AttemptFailure.create('hedge_lost', 'the answer is not used'))
      return this.failed(ticket, fault, facts)
    }
    await Promise.race([answer.whole, answer.filled])
    if (!answer.isOver) {
      void answer.whole.then((whole) => this.tell(ticket, whole.isOk() ? outcomeOfStatus(answer.status) : outcomeOf(whole.error), facts.load))
      return { kind: 'answer', answer, arrived: true }
    }
    const whole = await answer.whole
    if (whole.isErr()) return this.failed(ticket, whole.error, facts)
    this.tell(ticket, outcomeOfStatus(answer.status), facts.load)
    return { kind: 'answer', answer, arrived: true }
  }

  private failed (ticket: number, failure: AttemptFailure, facts: AnswerFacts | undefined): AttemptEnd {
    const outcome = facts?.misdirected === true ? PlacementOutcome.PLACEMENT_OUTCOME_MISDIRECTED : outcomeOf(failure)
    this.tell(ticket, outcome, facts?.load)
    return { kind: 'failure', failure, arrived: !NEVER_ARRIVED.has(failure.code) }
  }

  private tell (ticket: number, outcome: PlacementOutcome, load: UpstreamLoad | undefined): void {
    const milliseconds = Math.round(this.parts.clock.monotonicMilliseconds() - this.startedAt)
    this.parts.desk.end({ ticket, outcome, milliseconds, load, instance: this.placed.instance })
  }
}

function faultOf (answer: UpstreamAnswer, facts: AnswerFacts): AttemptFailure | undefined {
  if (facts.notRun) return AttemptFailure.create('refused_not_run')
  if (!facts.genuine) return AttemptFailure.create('malformed_answer', 'the answer does not belong to this request')
  if (PROMISES.has(answer.status)) return AttemptFailure.create('closed_after_sending', 'a refusal that does not prove that the request has not run')
  return undefined
}

function outcomeOf (failure: AttemptFailure): PlacementOutcome {
  return OUTCOME_BY_END[failure.code] ?? PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED
}

function outcomeOfStatus (status: number): PlacementOutcome {
  return status >= FIRST_SERVER_ERROR ? PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR : PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED
}
