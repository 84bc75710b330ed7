/** What the attempts of one request have come to, for its next attempt, its refusal and its log line. */
import type { PlacedRequest } from '@hickoryspoke/dispatch/placement-client'
import type { AttemptFailure } from './attempt-failure.ts'
import type { AttemptResult } from './dispatched-attempt.ts'
import type { RelayReport } from './dispatched-relay.ts'
import { FRAMINGS } from './response-framing.ts'
import type { UpstreamResponse } from './upstream-response.ts'

/** Outcome of a request, for the log. */
export interface DispatchedOutcome {
  readonly code: string
  readonly status: number
  readonly attempts: number
  readonly instance: string
  readonly local: boolean
  /** Number of the placement request to the dispatcher; 0 if there was none. */
  readonly ticket: number
  /** Entry through which the last attempt was sent; empty if it was sent directly. */
  readonly relayedBy: string
  /** Why the last attempt failed, or why its response was cut off; empty if neither. */
  readonly failure: string
  /** Requests per second that the upstream of the last attempt said it accepts; undefined if it stated no limit. */
  readonly statedRequestsPerSecond: number | undefined
  /** The response that was relayed; undefined if there was none. */
  readonly response: RelayedResponse | undefined
}

/** On what the time of a relayed response went. */
export interface RelayedResponse {
  /** From the start of the request until the head arrived from the upstream. */
  readonly headMilliseconds: number
  /** For which the caller, or its turn on the connection, held it up. */
  readonly callerMilliseconds: number
  /** Bytes of the body that arrived, and that the upstream announced; undefined if it announced none. */
  readonly bodyBytes: number
  readonly announcedBytes: number | undefined
}

/** What an attempt learned of its connection and its upstream. */
export interface AttemptDetails {
  readonly relay: string
  readonly statedRequestsPerSecond: number | undefined
}

/** Attempts of one request. */
export class AttemptHistory {
  /** Upstreams that were tried. */
  readonly excluded: string[] = []
  /** Attempts that reached an upstream and have ended. */
  attempts = 0
  /** Attempts that have not ended. */
  running = 0
  mayHaveRun = false
  private readonly answers: UpstreamResponse[] = []
  private placed: PlacedRequest | undefined
  private relayedBy = ''
  private failure = ''
  private statedRequestsPerSecond: number | undefined

  static create (): AttemptHistory {
    return new AttemptHistory()
  }

  /** The last response that has not ended early while it was kept. It may be an error. */
  get lastAnswer (): UpstreamResponse | undefined {
    return this.answers.findLast((answer) => !answer.isBroken)
  }

  /** Records that an attempt begins. */
  begin (placed: PlacedRequest): void {
    this.running += 1
    this.excluded.push(placed.instance)
  }

  /** Records how an attempt ended. The log line tells nothing of one that was given up for another. */
  end (placed: PlacedRequest, { relay, statedRequestsPerSecond }: AttemptDetails, result: AttemptResult): void {
    this.running -= 1
    if (result.reachedUpstream) this.attempts += 1
    if (result.kind === 'answer' || !result.failure.provenNotRun) this.mayHaveRun = true
    if (result.kind === 'answer') this.answers.push(result.answer)
    if (result.kind === 'failure' && result.failure.code === 'hedge_lost') return
    this.placed = placed
    this.relayedBy = relay
    this.statedRequestsPerSecond = statedRequestsPerSecond
    this.failure = result.kind === 'failure' ? describe(result.failure) : ''
  }

  /** Closes the connections of the responses that were not read to their end, once the request is over. */
  discardUnused (): void {
    for (const answer of this.answers) answer.discard()
  }

  /** Outcome of a request whose response was relayed. `startedAt` is the start of the request on the monotonic clock. */
  relayed (answer: UpstreamResponse, { failure, callerMilliseconds }: RelayReport, startedAt: number, ticket: number): DispatchedOutcome {
    if (failure !== undefined) this.failure = describe(failure)
    const { framing, receivedBytes, arrivedAt } = answer
    const announcedBytes = framing.kind === FRAMINGS.length ? framing.bytes : undefined
    const response = { headMilliseconds: arrivedAt - startedAt, callerMilliseconds, bodyBytes: receivedBytes, announcedBytes }
    return { ...this.outcome(failure === undefined ? 'answered' : 'broken_off', answer.status, ticket), response }
  }

  /** Outcome of the request; `ticket` belongs to its last question. */
  outcome (code: string, status: number, ticket: number): DispatchedOutcome {
    const { attempts, placed, relayedBy, failure, statedRequestsPerSecond } = this
    const upstream = { instance: placed?.instance ?? '', local: placed?.local ?? false }
    return { code, status, attempts, ...upstream, ticket, relayedBy, failure, statedRequestsPerSecond, response: undefined }
  }
}

function describe (failure: AttemptFailure): string {
  return `${failure.code}: ${failure.message}`
}
