import type { Readable } from 'node:stream'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import type { Dispatcher } from 'undici'
import { AttemptFailure, type AttemptFailureCode } from './attempt-failure.ts'
import type { ConnectFailure } from './connector.ts'
import { headerValue, type RawHeaders } from './header-filter.ts'
import { DROPPED_WITHIN_MILLISECONDS, statedKeepAliveMilliseconds } from './kept-connections.ts'
import { responseFraming, FRAMINGS, type ResponseFraming } from './response-framing.ts'
import type { ResponseProgress } from './response-progress.ts'
import type { UpstreamConnection } from './upstream-connection.ts'
import type { UpstreamConnections } from './upstream-connections.ts'
import { UpstreamResponse, type ResponseControl } from './upstream-response.ts'

/** One request to an upstream. `path` includes the query. */
export interface UpstreamRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer | Readable | null
  /** Maximum idle time of a connection that may be reused. */
  readonly maximumIdleMilliseconds: number
  readonly maximumOpen?: () => number
  /** Identifier by which the response can be told from those to other requests; undefined if responses have none, empty if this request has none. */
  readonly requestId?: string
  /** Whether a response may be delimited by the close of its connection. It is complete only if the close was orderly. */
  readonly acceptsCloseDelimited?: boolean
  /** Whether the request may go through the entry at this IP:PORT; through any by default. */
  readonly mayRelayThrough?: (relay: string) => boolean
  /** Asked once there is a connection, as that may take long: whether the request may still be sent there. */
  readonly mayStillSend?: () => boolean
  /** Called once there is a connection, with the entry that relays it, empty for none, and whether the connection carried earlier requests. */
  readonly onConnected?: (relay: string, isKept: boolean) => void
}

type HeadResult = Result<UpstreamResponse, AttemptFailure>

const FAILURE_CODE_BY_CONNECT_FAILURE: Record<ConnectFailure['code'], AttemptFailureCode> = {
  connect_refused: 'connect_refused',
  connect_timeout: 'connect_timeout',
  too_many_connections: 'too_many_connections',
  connect_aborted: 'aborted_before_sending',
  upstream_unreachable: 'connect_refused',
  relay_unavailable: 'connect_refused',
  cut_off: 'entry_cut_off'
}

/** Names of the errors of undici for bytes that are no response. It asserts that a status is at least 100. */
const PARSER_ERRORS: ReadonlySet<string> = new Set(['HTTPParserError', 'HeadersOverflowError', 'AssertionError'])
const LAST_STATUS = 599
const FIRST_SERVER_ERROR = 500
const NOT_RUN_STATUS = 503
const MAXIMUM_DRAINED_BYTES = 16_384

/**
 * Acquires a connection, sends the request and resolves once the response head has arrived.
 * Aborting the signal closes the connection. The reason of the signal, an `AttemptFailure`, becomes the result.
 */
export async function exchange (
  clock: Clock,
  connections: UpstreamConnections,
  request: UpstreamRequest,
  signal: AbortSignal
): Promise<HeadResult> {
  if (signal.aborted) return Err(AttemptFailure.create('aborted_before_sending'))
  const { address, maximumIdleMilliseconds, maximumOpen, requestId, mayRelayThrough } = request
  const connection = await connections.acquire({ address, maximumIdleMilliseconds, maximumOpen, requestId, mayRelayThrough, signal })
  if (connection.isErr()) return Err(AttemptFailure.create(FAILURE_CODE_BY_CONNECT_FAILURE[connection.error.code], connection.error.message))
  request.onConnected?.(connection.value.relay, connection.value.isReused)
  if (signal.aborted) {
    connections.release(connection.value, true)
    return Err(AttemptFailure.create('aborted_before_sending'))
  }
  const { relay } = connection.value
  // What may still be sent, and through which entries, can have changed while the connection was made.
  if (request.mayStillSend?.() === false || (relay !== '' && mayRelayThrough?.(relay) === false)) {
    connections.release(connection.value, true)
    return Err(AttemptFailure.create('placement_outdated', 'what allowed the request to be sent there has changed'))
  }
  return await ExchangeHandler.create(clock, connections, connection.value, request, signal).run()
}

/** Handles the undici callbacks of one request on one connection. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined
  private answer: UpstreamResponse | undefined
  private abortFailure: AttemptFailure | undefined
  private resolveHead: (result: HeadResult) => void = () => {}
  private keepsConnection = true
  private refused = false
  private hasUpstreamEnded = false
  private progress: ResponseProgress | undefined
  /** When the first byte was written, and how much had been read from the connection by then. */
  private sent: { readonly at: number, readonly bytesRead: number } | undefined

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

  /** Called by undici just before the first byte is written. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.controller = controller
    this.sent = { at: this.clock.monotonicMilliseconds(), bytesRead: this.connection.bytesRead }
    this.connection.beforeEnd = () => this.readToEnd(controller)
    this.progress = this.connection.watchProgress(() => controller.abort(AttemptFailure.create('malformed_answer', 'the response does not get further')))
    if (this.abortFailure !== undefined) controller.abort(this.abortFailure)
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200 || this.answer !== undefined || this.refused) return
    this.progress?.record()
    const headers = decodeHeaders(controller.rawHeaders as Buffer[])
    const framing = responseFraming(this.request.method, status, headers)
    if (/(^|,)\s*close\s*(,|$)/i.test(headerValue(headers, 'connection') ?? '')) this.keepsConnection = false
    this.connection.statedKeepAliveMilliseconds = statedKeepAliveMilliseconds(headers)
    if (this.connections.keepsAsStated && (this.request.maximumIdleMilliseconds === 0 || status >= FIRST_SERVER_ERROR)) this.keepsConnection = false
    this.answer = UpstreamResponse.create(this.clock, status, headers, framing, this.control(controller), this.connections.turns)
    const refusal = failureOfHead(status, headers, framing, this.acceptsCloseDelimited)
    if (status > LAST_STATUS) controller.abort(AttemptFailure.create('malformed_answer', `${status} is not an HTTP status`))
    else if (refusal === undefined) this.resolveHead(Ok(this.answer))
    else this.refuse(controller, refusal, framing)
  }

  onResponseData (_: Dispatcher.DispatchController, chunk: Buffer): void {
    this.progress?.record()
    this.answer?.receive(chunk)
  }

  onResponseEnd (controller: Dispatcher.DispatchController): void {
    this.stopWatching()
    if (this.isCutOff()) this.answer?.fail(AttemptFailure.create('truncated_answer', 'the connection ended before the upstream had ended the response'))
    this.answer?.complete(decodeHeaders((controller.rawTrailers ?? []) as Buffer[]))
    // Whoever receives the response may still find that its connection must not be used again.
    setImmediate(() => this.connections.release(this.connection, this.keepsConnection))
  }

  onResponseError (_: Dispatcher.DispatchController | null, error: Error): void {
    this.stopWatching()
    this.connections.release(this.connection, false)
    const failure = this.toFailure(error)
    this.answer?.fail(failure)
    this.resolveHead(Err(failure))
  }

  /** All bytes of the upstream have been read. While the parser is paused it does not notice that they complete the response. */
  private readToEnd (controller: Dispatcher.DispatchController): void {
    this.hasUpstreamEnded = true
    controller.resume()
  }

  private stopWatching (): void {
    this.signal.removeEventListener('abort', this.onAbort)
    this.progress?.end()
    this.connection.beforeEnd = () => {}
  }

  /** The end of a connection that does not tell how its upstream ended leaves open whether such a response is complete. */
  private get acceptsCloseDelimited (): boolean {
    return this.request.acceptsCloseDelimited === true && this.connection.tellsUpstreamEnd
  }

  /** undici takes any end of the connection for the regular end of a response without a Content-Length or chunks. */
  private isCutOff (): boolean {
    return this.answer?.framing.kind === FRAMINGS.untilClose && !this.connection.endedInOrder
  }

  private readonly onAbort = (): void => {
    this.abortFailure = this.signal.reason instanceof AttemptFailure ? this.signal.reason : AttemptFailure.create('caller_gone')
    if (this.controller === undefined) this.connection.destroy()
    else this.controller.abort(this.abortFailure)
  }

  /**
   * Discards the response. A short body is read to its end. The connection is not reused: if a faulty upstream sent the
   * refusal once more, it would be taken for the response to the next request.
   */
  private refuse (controller: Dispatcher.DispatchController, refusal: AttemptFailure, framing: ResponseFraming): void {
    this.keepsConnection = false
    const isDrainable = framing.kind === FRAMINGS.length && framing.bytes <= MAXIMUM_DRAINED_BYTES
    if (!isDrainable) return controller.abort(refusal)
    this.answer = undefined
    this.refused = true
    this.resolveHead(Err(refusal))
  }

  private control (controller: Dispatcher.DispatchController): ResponseControl {
    return {
      pause: () => { if (!this.hasUpstreamEnded) controller.pause() },
      resume: () => controller.resume(),
      abort: (failure) => controller.abort(failure),
      forgetConnection: () => { if (this.connections.keepsAsStated) this.keepsConnection = false }
    }
  }

  /** Why a kept connection failed that its upstream had dropped; undefined for any other failure. */
  private failureOfKeptConnection (error: Error): AttemptFailure | undefined {
    if (!this.connections.keepsAsStated || !this.connection.isReused || this.abortFailure !== undefined || error instanceof AttemptFailure) return undefined
    if (this.sent === undefined) return AttemptFailure.create('kept_connection_gone', error.message)
    const { at, bytesRead } = this.sent
    const isDropped = this.connection.bytesRead === bytesRead && this.clock.monotonicMilliseconds() - at < DROPPED_WITHIN_MILLISECONDS
    return isDropped ? AttemptFailure.create('kept_connection_dropped', error.message) : undefined
  }

  private toFailure (error: Error): AttemptFailure {
    const dropped = this.failureOfKeptConnection(error)
    if (dropped !== undefined) return dropped
    if (this.controller === undefined) {
      return AttemptFailure.create(this.abortFailure === undefined ? 'closed_before_sending' : 'aborted_before_sending', error.message)
    }
    if (error instanceof AttemptFailure) return error
    if (this.answer !== undefined) return AttemptFailure.create('truncated_answer', error.message)
    return AttemptFailure.create(PARSER_ERRORS.has(error.name) ? 'malformed_answer' : 'closed_after_sending', error.message)
  }
}

function failureOfHead (status: number, headers: RawHeaders, framing: ResponseFraming, acceptsCloseDelimited: boolean): AttemptFailure | undefined {
  if (status === NOT_RUN_STATUS && headerValue(headers, 'hickoryspoke-run')?.trim() === 'not-run') return AttemptFailure.create('refused_not_run')
  if (framing.kind === FRAMINGS.untilClose && !acceptsCloseDelimited) return AttemptFailure.create('unframed_answer', 'the response has neither a Content-Length nor chunked coding')
  return undefined
}

function decodeHeaders (raw: readonly Buffer[]): string[] {
  return raw.map((part) => part.toString('latin1'))
}
