import type { ServerResponse } from 'node:http'
import type { ClientLimiter } from '@hickoryspoke/runtime/client-limiter'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { JoinedRequest } from '@hickoryspoke/runtime/joined-request'
import type { StallingRequest } from '@hickoryspoke/runtime/stall-list'
import type { CallerExchange } from '@hickoryspoke/request/caller-exchange'
import { AttemptFailure } from '@hickoryspoke/request/attempt-failure'
import type { Refusal } from '@hickoryspoke/request/refusal'
import { NodeAnswer } from './caller-node-answer.ts'
import type { CallerLimits } from './caller-settings.ts'

/** Of a longer rest of a body that nobody needs, the connection is closed. */
const MAXIMUM_DISCARDED_BYTES = 67_108_864

/** Options of a `NodeExchange`. */
export interface NodeExchangeOptions {
  readonly clock: Clock
  readonly limits: CallerLimits
  readonly limiter: ClientLimiter
  /** The caller sent `Expect: 100-continue` and waits for `100 Continue` before it sends its body. */
  readonly expectsContinue: boolean
  /** Whether nothing is read behind the request, so that its response closes the connection. */
  readonly isLast: boolean
  /** Called when the response headers are sent: whether the connection is closed after the response. */
  readonly closesConnection: (exchange: NodeExchange) => boolean
}

/** Request and response of a caller on the HTTP server of Node.js. */
export class NodeExchange implements CallerExchange, StallingRequest {
  private readonly controller = new AbortController()
  /** Whether the rest of the request cannot be read, nor anything behind it. */
  private isBroken = false
  private bufferedBytes = 0
  private isReleased = false
  /** Whether the caller waits for `100 Continue` until the responses in front of its own have been sent. */
  private awaitsContinue = false
  readonly answer: NodeAnswer

  private constructor (
    private readonly request: JoinedRequest,
    private readonly response: ServerResponse,
    private readonly options: NodeExchangeOptions
  ) {
    // Otherwise the parser reads nothing behind the request.
    const mayKeep = response.shouldKeepAlive
    this.answer = NodeAnswer.create(response, {
      clock: options.clock,
      unreadTimeoutMilliseconds: options.limits.unreadAnswerTimeoutMilliseconds,
      signal: this.controller.signal,
      hold: (bytes) => options.limiter.hold(bytes),
      awaitsReader: (isAwaited) => isAwaited ? options.limiter.awaitReader(this) : options.limiter.readerReady(this),
      ended: () => this.discardBody(),
      closesConnection: () => !mayKeep || this.isBroken || options.isLast || options.closesConnection(this) || this.leavesBodyOpen,
      idleMilliseconds: options.limits.idleTimeoutMilliseconds
    })
    response.on('error', () => {})
    request.on('error', () => {})
  }

  static create (request: JoinedRequest, response: ServerResponse, options: NodeExchangeOptions): NodeExchange {
    return new NodeExchange(request, response, options)
  }

  get method (): string {
    return this.request.method ?? ''
  }

  get target (): string {
    return this.request.url ?? ''
  }

  get host (): string {
    return this.request.headers.host ?? ''
  }

  get headers (): readonly string[] {
    return this.request.rawHeaders
  }

  get body (): JoinedRequest {
    return this.request
  }

  get bodyBytes (): number | undefined {
    const length = this.request.headers['content-length']
    if (length !== undefined) return Number(length)
    return this.request.headers['transfer-encoding'] === undefined ? 0 : undefined
  }

  /** Number of pieces in which the body has come so far. */
  get bodyPieces (): number {
    return this.request.pieces
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Whether nothing is read behind the request. */
  get isLast (): boolean {
    return this.options.isLast
  }

  /** Whether the request has been read to its end. */
  get isRead (): boolean {
    return this.request.complete
  }

  /** Calls back once the complete response has been handed to the operating system. */
  onSent (task: () => void): void {
    this.response.once('finish', task)
  }

  /** Reads on to the next request of the connection. Node.js does so only where no part of the body was read. */
  private discardBody (): void {
    if (this.isRead) return
    let bytes = 0
    this.request.on('data', (chunk: Buffer) => {
      bytes += chunk.length
      if (bytes > MAXIMUM_DISCARDED_BYTES) this.request.destroy()
    })
    this.request.resume()
  }

  /** Calls back when the response is broken off. */
  onBrokenOff (task: () => void): void {
    this.answer.onBrokenOff(task)
  }

  /** Aborts the request because the connection is gone. */
  cancel (): void {
    this.abandon()
    this.response.destroy()
  }

  /** Aborts the request because the connection ends in front of its response, or in the middle of it. */
  abandon (): void {
    this.answer.abort()
    this.controller.abort(AttemptFailure.create('caller_gone'))
  }

  awaitBody (): void {
    if (!this.isReleased) this.options.limiter.awaitBody(this)
  }

  /** Counts bytes of the body that are buffered to be sent again; false if there is no memory for them. */
  takeBody (bytes: number): boolean {
    if (this.isReleased) return true
    if (!this.options.limiter.takeBody(this, bytes)) return false
    this.bufferedBytes += bytes
    return true
  }

  bodyTaken (): void {
    this.options.limiter.bodyEnded(this)
  }

  dropStalled (): void {
    this.release()
    this.request.socket.destroy()
  }

  /** Counts nothing for this request any more. */
  release (): void {
    if (this.isReleased) return
    this.isReleased = true
    this.options.limiter.readerReady(this)
    this.bodyTaken()
    this.options.limiter.hold(-this.bufferedBytes)
    this.answer.release()
  }

  sendContinue (): void {
    if (this.options.expectsContinue) this.awaitsContinue = !this.answer.sendContinue()
  }

  /** Call once all responses in front of this one have been sent. A caller that has sent its body waits for nothing. */
  takeTurn (): void {
    if (this.awaitsContinue && !this.isRead) this.sendContinue()
  }

  /** Whether nobody knows if the caller still sends its body, as it may have waited for `100 Continue`. */
  private get leavesBodyOpen (): boolean {
    return !this.isRead && this.bodyBytes !== 0 && this.request.headers.expect !== undefined
  }

  /** Aborts the request because the rest of it is not valid HTTP. Nothing more can be read from the connection. */
  abortBody (refusal: Refusal): void {
    this.isBroken = true
    this.controller.abort(refusal)
  }
}
