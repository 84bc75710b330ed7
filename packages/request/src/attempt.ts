import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import { FRAMINGS } from './answer-framing.ts'
import type { AttemptFailure } from './attempt-failure.ts'
import { ATTEMPT_KINDS, type AttemptKind, type CrashTrial, type UpstreamLease } from './collaborators.ts'
import type { UpstreamAnswer } from './upstream-answer.ts'
import type { UpstreamConnections } from './upstream-connections.ts'
import { exchange, type UpstreamRequest } from './upstream-exchange.ts'

const FIRST_SERVER_ERROR = 500

/** Answers of known length up to this many bytes are taken whole before the caller sees their head. */
export const HELD_ANSWER_BYTES = 65_536

/** Parts that every attempt of one request shares. */
export interface AttemptContext {
  readonly clock: Clock
  readonly connections: UpstreamConnections
  readonly request: Omit<UpstreamRequest, 'address'>
  readonly trial: CrashTrial
  /** Called with the milliseconds to the head of each good answer. */
  readonly recordAnswer: (milliseconds: number) => void
}

/** An attempt that has an answer to show: whole when it is small, else from its head on. */
export interface ReadyAttempt {
  readonly answer: UpstreamAnswer
  readonly isWhole: boolean
  readonly address: string
}

/** One request on its way through one upstream. */
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

  /** Sends the request; resolves when there is an answer to show, or with the reason why there is none. */
  async run (): Promise<Result<ReadyAttempt, AttemptFailure>> {
    const { clock, connections, request } = this.context
    const head = await exchange(clock, connections, { ...request, address: this.address }, this.controller.signal)
    this.headMilliseconds = clock.monotonicMilliseconds() - this.startedMilliseconds
    if (head.isErr()) return this.failed(head.error)
    const answer = head.value
    answer.whole.then((whole) => this.closed(answer, whole)).catch(() => this.finish(ATTEMPT_KINDS.reset))
    if (!isHeld(answer)) return Ok({ answer, isWhole: false, address: this.address })
    const whole = await answer.whole
    return whole.isErr() ? Err(whole.error) : Ok({ answer, isWhole: true, address: this.address })
  }

  /** Gives the attempt up and closes its connection. */
  cancel (reason: AttemptFailure): void {
    if (!this.isFinished) this.controller.abort(reason)
  }

  private failed (failure: AttemptFailure): Result<ReadyAttempt, AttemptFailure> {
    this.finish(failure.kind)
    return Err(failure)
  }

  private closed (answer: UpstreamAnswer, whole: Awaited<UpstreamAnswer['whole']>): void {
    if (whole.isErr()) return this.finish(whole.error.kind, answer.status)
    if (answer.status < FIRST_SERVER_ERROR) this.context.recordAnswer(this.headMilliseconds ?? 0)
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

function isHeld (answer: UpstreamAnswer): boolean {
  const { kind, bytes } = answer.framing
  return kind === FRAMINGS.none || (kind === FRAMINGS.length && bytes <= HELD_ANSWER_BYTES)
}
