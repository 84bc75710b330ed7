/** Sends one request to the upstream that the dispatcher chose, and reports the outcome to the dispatcher. */
import type { PlacedRequest, PlacementClient } from '@hickoryspoke/dispatch/placement-client'
import { PlacementOutcome } from '@hickoryspoke/protocol/generated/dispatch'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { AttemptFailure, type AttemptFailureCode } from './attempt-failure.ts'
import type { ResponseMetadata, CallerMetadata, Dialect } from './dialect.ts'
import type { UpstreamConnections } from './upstream-connections.ts'
import { exchange, type UpstreamRequest } from './upstream-exchange.ts'
import type { UpstreamResponse } from './upstream-response.ts'

/** A response that can be relayed, buffered completely if it is small; or the reason for which there is none. */
export type AttemptResult =
  | { readonly kind: 'answer', readonly answer: UpstreamResponse, readonly reachedUpstream: true }
  | { readonly kind: 'failure', readonly failure: AttemptFailure, readonly reachedUpstream: boolean }

interface DispatchedAttemptOptions {
  readonly clock: Clock
  readonly connections: UpstreamConnections
  readonly dialect: Dialect
  readonly placementClient: PlacementClient
}

const FIRST_SERVER_ERROR = 500
/** Statuses that imply that the request did not run. Without proof (`notRun`), they count as failures with unknown outcome. */
const UNPROVEN_REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

const OUTCOME_BY_FAILURE: Readonly<Partial<Record<AttemptFailureCode, PlacementOutcome>>> = {
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

const NOT_SENT: ReadonlySet<AttemptFailureCode> = new Set([
  'connect_refused', 'connect_timeout', 'entry_cut_off', 'too_many_connections', 'aborted_before_sending', 'placement_outdated', 'closed_before_sending',
  'kept_connection_gone'
])

/** Informs the dispatcher that a placement is not used. */
export function cancelPlacement (placementClient: PlacementClient, ticket: number): void {
  placementClient.end({ ticket, outcome: PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED, milliseconds: 0, load: undefined, statedLimit: undefined, instance: '' })
}

/** One attempt to run a request on one upstream. */
export class DispatchedAttempt {
  private readonly startedAt: number
  private metadata: ResponseMetadata | undefined
  private response: UpstreamResponse | undefined
  /** IP:PORT of the entry through which the request was sent; empty if it was sent directly. */
  relay = ''
  /** Whether the connection carried earlier requests. */
  private isKept = false

  private constructor (
    private readonly options: DispatchedAttemptOptions,
    private readonly placed: PlacedRequest,
    private readonly request: Omit<UpstreamRequest, 'address'>,
    private readonly caller: CallerMetadata
  ) {
    this.startedAt = options.clock.monotonicMilliseconds()
  }

  static create (
    options: DispatchedAttemptOptions, placed: PlacedRequest, request: Omit<UpstreamRequest, 'address'>, caller: CallerMetadata
  ): DispatchedAttempt {
    return new DispatchedAttempt(options, placed, request, caller)
  }

  /** Sends the request. Resolves with a response that can be relayed, or with the reason for which there is none. */
  async run (ticket: number, signal: AbortSignal): Promise<AttemptResult> {
    const { clock, connections, dialect } = this.options
    const head = await exchange(clock, connections, {
      ...this.request,
      address: this.placed.address,
      requestId: this.caller.requestId,
      onConnected: (relay, isKept) => {
        this.relay = relay
        this.isKept = isKept
      }
    }, signal)
    if (head.isErr()) return this.failed(ticket, head.error)
    const answer = head.value
    const metadata = dialect.readAnswer(answer.status, answer.headers, this.caller, this.isKept)
    this.metadata = metadata
    this.response = answer
    if (metadata.notice !== undefined) this.options.placementClient.recordNotice(this.placed.instance, metadata.notice)
    const headFailure = failureOfHead(answer, metadata)
    if (headFailure !== undefined) {
      answer.reject()
      return this.failed(ticket, headFailure)
    }
    await Promise.race([answer.whole, answer.bufferFull])
    if (!answer.isEnded) {
      // A retry uses the ticket again, so a server error is reported before its body has ended.
      if (answer.status >= FIRST_SERVER_ERROR) this.reportEnd(ticket, outcomeOfStatus(answer.status))
      else void answer.whole.then((whole) => this.reportEnd(ticket, whole.isOk() ? outcomeOfStatus(answer.status) : outcomeOf(whole.error)))
      return { kind: 'answer', answer, reachedUpstream: true }
    }
    const whole = await answer.whole
    if (whole.isErr()) return this.failed(ticket, whole.error)
    this.reportEnd(ticket, outcomeOfStatus(answer.status))
    return { kind: 'answer', answer, reachedUpstream: true }
  }

  /** Requests per second that the upstream said it accepts; undefined if it stated no limit. */
  get statedRequestsPerSecond (): number | undefined {
    return this.metadata?.statedLimit?.requestsPerSecond
  }

  private failed (ticket: number, failure: AttemptFailure): AttemptResult {
    const outcome = this.metadata?.misdirected === true ? PlacementOutcome.PLACEMENT_OUTCOME_MISDIRECTED : outcomeOf(failure)
    this.reportEnd(ticket, outcome)
    return { kind: 'failure', failure, reachedUpstream: !NOT_SENT.has(failure.code) }
  }

  private reportEnd (ticket: number, outcome: PlacementOutcome): void {
    const elapsed = this.options.clock.monotonicMilliseconds() - this.startedAt
    // A slow caller says nothing about the upstream.
    const milliseconds = Math.round(elapsed - (this.response?.pausedMilliseconds ?? 0))
    this.options.placementClient.end({
      ticket, outcome, milliseconds, instance: this.placed.instance, load: this.metadata?.load, statedLimit: this.metadata?.statedLimit
    })
  }
}

function failureOfHead (answer: UpstreamResponse, metadata: ResponseMetadata): AttemptFailure | undefined {
  if (metadata.notRun) return AttemptFailure.create('refused_not_run')
  if (!metadata.genuine) return AttemptFailure.create('malformed_answer', 'the response does not belong to this request')
  if (UNPROVEN_REFUSAL_STATUSES.has(answer.status)) return AttemptFailure.create('closed_after_sending', 'the status does not prove that the request did not run')
  return undefined
}

function outcomeOf (failure: AttemptFailure): PlacementOutcome {
  return OUTCOME_BY_FAILURE[failure.code] ?? PlacementOutcome.PLACEMENT_OUTCOME_CANCELLED
}

function outcomeOfStatus (status: number): PlacementOutcome {
  return status >= FIRST_SERVER_ERROR ? PlacementOutcome.PLACEMENT_OUTCOME_SERVER_ERROR : PlacementOutcome.PLACEMENT_OUTCOME_ANSWERED
}
