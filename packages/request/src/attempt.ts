import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import type { AttemptFailure } from './attempt-failure.ts'
import { ATTEMPT_KINDS, type AttemptKind, type CrashTrial, type UpstreamLease } from './collaborators.ts'
import { FRAMINGS } from './response-framing.ts'
import type { UpstreamConnections } from './upstream-connections.ts'
import { exchange, type UpstreamRequest } from './upstream-exchange.ts'
import type { UpstreamResponse } from './upstream-response.ts'

const FIRST_SERVER_ERROR = 500

/** Responses with a Content-Length up to this many bytes are buffered completely before their head is sent to the caller. */
export const BUFFERED_RESPONSE_BYTES = 65_536

/** Context shared by all attempts of one request. */
export interface AttemptContext {
  readonly clock: Clock
  readonly connections: UpstreamConnections
  readonly request: Omit<UpstreamRequest, 'address'>
  readonly trial: CrashTrial
  /** Called with the time to the response head of each complete response that is not a server error. */
  readonly recordResponseTime: (milliseconds: number) => void
}

/** Outcome of a successful attempt. `isWhole` tells whether the response is already complete or only its head has arrived. */
export interface ReadyAttempt {
  readonly answer: UpstreamResponse
  readonly isWhole: boolean
  readonly address: string
}

/** One attempt to run a request on one upstream. */
export class Attempt {
  private readonly controller = new AbortController()
  private readonly startedMilliseconds: number
  private headMilliseconds: number | undefined
  private isFinished = false

  private constructor (private readonly context: AttemptContext, private readonly lease: UpstreamLease) {
    this.startedMilliseconds = context.clock.monotonicMilliseconds()
  }

  static create (context: AttemptContext, lease: UpstreamLease): Attempt {
    return new Attempt(context, lease)
  }

  get address (): string {
    return this.lease.address
  }

  /** Sends the request. Resolves with a response that can be relayed, or with the reason for which there is none. */
  async run (): Promise<Result<ReadyAttempt, AttemptFailure>> {
    const { clock, connections, request } = this.context
    const head = await exchange(clock, connections, { ...request, address: this.address }, this.controller.signal)
    this.headMilliseconds = clock.monotonicMilliseconds() - this.startedMilliseconds
    if (head.isErr()) return this.failed(head.error)
    const answer = head.value
    answer.whole.then((whole) => this.onResponseEnd(answer, whole)).catch(() => this.finish(ATTEMPT_KINDS.reset))
    if (!isBuffered(answer)) return Ok({ answer, isWhole: false, address: this.address })
    const whole = await answer.whole
    return whole.isErr() ? Err(whole.error) : Ok({ answer, isWhole: true, address: this.address })
  }

  /** Cancels the attempt and closes its connection. Does nothing once the attempt has finished. */
  cancel (reason: AttemptFailure): void {
    if (!this.isFinished) this.controller.abort(reason)
  }

  private failed (failure: AttemptFailure): Result<ReadyAttempt, AttemptFailure> {
    this.finish(failure.kind)
    return Err(failure)
  }

  private onResponseEnd (answer: UpstreamResponse, whole: Awaited<UpstreamResponse['whole']>): void {
    if (whole.isErr()) return this.finish(whole.error.kind, answer.status)
    if (answer.status < FIRST_SERVER_ERROR) this.context.recordResponseTime(this.headMilliseconds ?? 0)
    this.finish(answer.status >= FIRST_SERVER_ERROR ? ATTEMPT_KINDS.serverError : ATTEMPT_KINDS.answered, answer.status)
  }

  private finish (kind: AttemptKind, status?: number): void {
    if (this.isFinished) return
    this.isFinished = true
    const blamedOnRequest = this.context.trial.finish(this.address, kind)
    const milliseconds = this.headMilliseconds ?? this.context.clock.monotonicMilliseconds() - this.startedMilliseconds
    this.lease.finish({ kind, milliseconds, status, blamedOnRequest })
  }
}

function isBuffered (answer: UpstreamResponse): boolean {
  const { kind, bytes } = answer.framing
  return kind === FRAMINGS.none || (kind === FRAMINGS.length && bytes <= BUFFERED_RESPONSE_BYTES)
}
