import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { CallerResponse, CallerExchange } from '@hickoryspoke/request/caller-exchange'
import { AttemptFailure } from '@hickoryspoke/request/attempt-failure'
import type { Refusal } from '@hickoryspoke/request/refusal'
import type { CallerLimits } from './caller-settings.ts'

/** What the edge adds to each exchange. */
export interface NodeExchangeOptions {
  readonly clock: Clock
  readonly limits: CallerLimits
  readonly waitsForInvitation: boolean
  /** Asked when the head of the answer is sent: whether the connection closes after it. */
  readonly closesConnection: () => boolean
}

/** A caller's request and answer on Node's HTTP server. */
export class NodeExchange implements CallerExchange {
  private readonly controller = new AbortController()
  readonly answer: NodeAnswer

  private constructor (private readonly request: IncomingMessage, response: ServerResponse, private readonly options: NodeExchangeOptions) {
    this.answer = NodeAnswer.create(request, response, options)
    response.once('close', () => {
      if (!response.writableFinished) this.controller.abort(AttemptFailure.create('caller_gone'))
    })
    response.on('error', () => {})
    request.on('error', () => {})
  }

  static create (request: IncomingMessage, response: ServerResponse, options: NodeExchangeOptions): NodeExchange {
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

  get body (): IncomingMessage {
    return this.request
  }

  get bodyBytes (): number | undefined {
    const length = this.request.headers['content-length']
    if (length !== undefined) return Number(length)
    return this.request.headers['transfer-encoding'] === undefined ? 0 : undefined
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  sendContinue (): void {
    if (this.options.waitsForInvitation) this.answer.invite()
  }

  /** The rest of the request breaks the rules of HTTP, so nothing more can be read from this connection. */
  breakBody (refusal: Refusal): void {
    this.controller.abort(refusal)
  }
}

/** The answer to a caller on Node's HTTP server. */
export class NodeAnswer implements CallerResponse {
  private constructor (
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly options: NodeExchangeOptions
  ) {}

  static create (request: IncomingMessage, response: ServerResponse, options: NodeExchangeOptions): NodeAnswer {
    return new NodeAnswer(request, response, options)
  }

  get isHeadSent (): boolean {
    return this.response.headersSent
  }

  invite (): void {
    if (!this.response.destroyed) this.response.writeContinue()
  }

  writeHead (status: number, headers: readonly string[]): void {
    if (this.response.destroyed || this.response.headersSent) return
    const closes = this.options.closesConnection() || (!this.request.complete && this.response.req.headers.expect !== undefined)
    this.response.writeHead(status, closes ? [...headers, 'Connection', 'close'] : [...headers])
  }

  write (chunk: Buffer): boolean {
    return this.response.destroyed || this.response.write(chunk)
  }

  /** Calls back when the caller has taken what waits, or has left; a caller that takes nothing is cut off. */
  whenReady (task: () => void): void {
    const { response } = this
    if (response.destroyed || !response.writableNeedDrain) {
      task()
      return
    }
    const timer = this.options.clock.schedule(this.options.limits.unreadAnswerTimeoutMilliseconds, () => this.abort())
    const proceed = (): void => {
      timer.cancel()
      response.off('drain', proceed).off('close', proceed)
      task()
    }
    response.on('drain', proceed).on('close', proceed)
  }

  end (trailers: readonly string[]): void {
    if (this.response.destroyed) return
    if (trailers.length > 0) this.response.addTrailers(pairs(trailers))
    this.response.end()
  }

  abort (): void {
    this.response.destroy()
  }
}

function pairs (flat: readonly string[]): [string, string][] {
  const list: [string, string][] = []
  for (let index = 0; index < flat.length; index += 2) list.push([flat[index] as string, flat[index + 1] as string])
  return list
}
