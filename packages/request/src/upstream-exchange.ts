import type { Readable } from 'node:stream'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import { answerFraming, FRAMINGS, type AnswerFraming } from './answer-framing.ts'
import { AttemptFailure, type AttemptEndCode } from './attempt-failure.ts'
import { headerValue, type RawHeaders } from './header-filter.ts'
import { UpstreamAnswer, type AnswerControl } from './upstream-answer.ts'
import type { ConnectFailure, UpstreamConnection, UpstreamConnections } from './upstream-connections.ts'

/** One request as it goes to an upstream. `path` includes the query. */
export interface UpstreamRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer | Readable | null
  /** Longest idle time in milliseconds of a connection that may be used again. */
  readonly maximumIdleMilliseconds: number
  readonly maximumOpen?: () => number
  /** Whether an answer may end with its connection. One that is reset on the way is not whole. */
  readonly takesUnframed?: boolean
}

type HeadResult = Result<UpstreamAnswer, AttemptFailure>

const CONNECT_ENDS: Record<ConnectFailure['code'], AttemptEndCode> = {
  connect_refused: 'connect_refused',
  connect_timeout: 'connect_timeout',
  too_many_connections: 'too_many_connections',
  connect_aborted: 'aborted_before_sending'
}

const NOT_RUN_STATUS = 503
const DISCARDED_BYTES = 16_384

/**
 * One attempt: connects, sends, and resolves when the head of the answer is there.
 * The signal's reason, an `AttemptFailure`, says why an attempt is given up; it closes the connection.
 */
export async function exchange (
  clock: Clock,
  connections: UpstreamConnections,
  request: UpstreamRequest,
  signal: AbortSignal
): Promise<HeadResult> {
  if (signal.aborted) return Err(AttemptFailure.create('aborted_before_sending'))
  const { address, maximumIdleMilliseconds, maximumOpen } = request
  const connection = await connections.acquire({ address, maximumIdleMilliseconds, maximumOpen, signal })
  if (connection.isErr()) return Err(AttemptFailure.create(CONNECT_ENDS[connection.error.code], connection.error.message))
  if (signal.aborted) {
    connections.release(connection.value, true)
    return Err(AttemptFailure.create('aborted_before_sending'))
  }
  return await ExchangeHandler.create(clock, connections, connection.value, request, signal).run()
}

/** Follows one request on one connection through the callbacks of undici. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private answer: UpstreamAnswer | undefined
  private abortFailure: AttemptFailure | undefined
  private resolveHead: (result: HeadResult) => void = () => {}
  private keepsConnection = true
  private refused = false

  private constructor (
    private readonly clock: Clock,
    private readonly connections: UpstreamConnections,
    private readonly connection: UpstreamConnection,
    private readonly request: UpstreamRequest,
    private readonly signal: AbortSignal
  ) {}

  static create (
    clock: Clock, connections: UpstreamConnections, connection: UpstreamConnection, request: UpstreamRequest, signal: AbortSignal
  ): ExchangeHandler {
    return new ExchangeHandler(clock, connections, connection, request, signal)
  }

  run (): Promise<HeadResult> {
    return new Promise((resolve) => {
      this.resolveHead = resolve
      this.signal.addEventListener('abort', this.onAbort, { once: true })
      const { method, path, headers, body } = this.request
      this.connection.client.dispatch({ method: method as Dispatcher.HttpMethod, path, headers, body, idempotent: false }, this)
    })
  }

  /** Called just before the first byte is written. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    if (this.abortFailure !== undefined) controller.abort(this.abortFailure)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200 || this.answer !== undefined || this.refused) return
    const headers = decodeHeaders(controller.rawHeaders as Buffer[])
    const framing = answerFraming(this.request.method, status, headers)
    if (/(^|,)\s*close\s*(,|$)/i.test(headerValue(headers, 'connection') ?? '')) this.keepsConnection = false
    this.answer = UpstreamAnswer.create(this.clock, status, headers, framing, this.control(controller))
    const refusal = refusalOfHead(status, headers, framing, this.request.takesUnframed === true)
    if (refusal === undefined) this.resolveHead(Ok(this.answer))
    else this.refuse(controller, refusal, framing)
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.answer?.receive(chunk)
  }

  onResponseEnd (controller: Dispatcher.DispatchController): void {
    this.signal.removeEventListener('abort', this.onAbort)
    if (this.isCutShort()) this.answer?.fail(AttemptFailure.create('truncated_answer', 'the connection was reset before the end'))
    this.answer?.complete(decodeHeaders((controller.rawTrailers ?? []) as Buffer[]))
    const { connection, keepsConnection } = this
    setImmediate(() => this.connections.release(connection, keepsConnection))
  }

  onResponseError (_: Dispatcher.DispatchController | null, error: Error): void {
    this.signal.removeEventListener('abort', this.onAbort)
    this.connections.release(this.connection, false)
    const failure = this.describe(error)
    this.answer?.fail(failure)
    this.resolveHead(Err(failure))
  }

  /** The client library takes a reset for the end of an answer that ends with its connection. */
  private isCutShort (): boolean {
    return this.answer?.framing.kind === FRAMINGS.untilClose && this.connection.hasBroken
  }

  private readonly onAbort = (): void => {
    this.abortFailure = this.signal.reason instanceof AttemptFailure ? this.signal.reason : AttemptFailure.create('caller_gone')
    if (this.controller === undefined) this.connection.destroy()
    else this.controller.abort(this.abortFailure)
  }

  /** Drops the answer; a short body is read to its end so that the connection can be used again. */
  private refuse (controller: Dispatcher.DispatchController, refusal: AttemptFailure, framing: AnswerFraming): void {
    const short = framing.kind === FRAMINGS.length && framing.bytes <= DISCARDED_BYTES
    if (!short) return controller.abort(refusal)
    this.answer = undefined
    this.refused = true
    this.resolveHead(Err(refusal))
  }

  private control (controller: Dispatcher.DispatchController): AnswerControl {
    return {
      pause: () => controller.pause(),
      resume: () => controller.resume(),
      abort: (failure) => controller.abort(failure)
    }
  }

  private describe (error: Error): AttemptFailure {
    if (this.controller === undefined) {
      return AttemptFailure.create(this.abortFailure === undefined ? 'closed_before_sending' : 'aborted_before_sending', error.message)
    }
    if (error instanceof AttemptFailure) return error
    if (this.answer !== undefined) return AttemptFailure.create('truncated_answer', error.message)
    return AttemptFailure.create(error.name === 'HTTPParserError' ? 'malformed_answer' : 'closed_after_sending', error.message)
  }
}

function refusalOfHead (status: number, headers: RawHeaders, framing: AnswerFraming, takesUnframed: boolean): AttemptFailure | undefined {
  if (status === NOT_RUN_STATUS && headerValue(headers, 'hickoryspoke-run')?.trim() === 'not-run') return AttemptFailure.create('refused_not_run')
  if (framing.kind === FRAMINGS.untilClose && !takesUnframed) return AttemptFailure.create('unframed_answer', 'the answer has neither a length nor chunks')
  return undefined
}

function decodeHeaders (raw: readonly Buffer[]): string[] {
  return raw.map((part) => part.toString('latin1'))
}
