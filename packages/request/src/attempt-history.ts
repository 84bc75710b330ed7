/** What the attempts of one request have come to, for its next attempt, its refusal and its log line. */
import type { PlacedRequest } from '@hickoryspoke/dispatch/placement-client'
import type { AttemptResult } from './dispatched-attempt.ts'
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
  /** Why the last attempt failed; empty if it did not. */
  readonly failure: string
  /** Requests per second that the upstream of the last attempt said it accepts; undefined if it stated no limit. */
  readonly statedRequestsPerSecond: number | undefined
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

  /** The last response, which may be an error. */
  get lastAnswer (): UpstreamResponse | undefined {
    return this.answers.at(-1)
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
    this.failure = result.kind === 'failure' ? `${result.failure.code}: ${result.failure.message}` : ''
  }

  /** Closes the connections of the responses that were not read to their end, once the request is over. */
  discardUnused (): void {
    for (const answer of this.answers) answer.discard()
  }

  /** Outcome of the request; `ticket` belongs to its last question. */
  outcome (code: string, status: number, ticket: number): DispatchedOutcome {
    const { attempts, placed, relayedBy, failure, statedRequestsPerSecond } = this
    return { code, status, attempts, instance: placed?.instance ?? '', local: placed?.local ?? false, ticket, relayedBy, failure, statedRequestsPerSecond }
  }
}
