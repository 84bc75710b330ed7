import type { ServerResponse } from 'node:http'
import type { CallerResponse } from '@hickoryspoke/request/caller-exchange'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { JoinedWriter } from '@hickoryspoke/runtime/joined-writer'

/** Options of a `NodeAnswer`. */
export interface NodeAnswerOptions {
  readonly clock: Clock
  /** How long a caller may read nothing of a response that is waiting to be sent. */
  readonly unreadTimeoutMilliseconds: number
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal
  /** Called with each change of the number of bytes that wait to be sent. */
  readonly hold: (change: number) => void
  /** Called when the response can be sent on only once its caller has read more, and when it can be or has ended. */
  readonly awaitsReader: (isAwaited: boolean) => void
  /** Called when the response is complete, although it may not have been sent yet. */
  readonly ended: () => void
  /** Called when the response headers are sent: whether the connection is closed after the response. */
  readonly closesConnection: () => boolean
  /** How long the connection is kept for a further request. */
  readonly idleMilliseconds: number
}

const CLOSE = ['Connection', 'close'] as const

/** Response to a caller on the HTTP server of Node.js. */
export class NodeAnswer implements CallerResponse {
  /** Whether the headers that were sent close the connection after the response. */
  closesConnection = false
  /** Whether the response is not continued, so that the connection has to end behind what was sent of it. */
  isBrokenOff = false
  /** Bytes that wait to be sent, as last counted. */
  unsentBytes = 0
  private isReleased = false
  private readonly writer: JoinedWriter
  /** Called once more can be written. */
  private reportReady: () => void = () => {}
  private reportBrokenOff: () => void = () => {}

  private constructor (private readonly response: ServerResponse, private readonly options: NodeAnswerOptions) {
    this.writer = JoinedWriter.create(response, () => this.advance())
    response.on('drain', () => this.advance())
  }

  static create (response: ServerResponse, options: NodeAnswerOptions): NodeAnswer {
    return new NodeAnswer(response, options)
  }

  get isHeadSent (): boolean {
    return this.response.headersSent
  }

  /** Calls back when the response is broken off. */
  onBrokenOff (task: () => void): void {
    this.reportBrokenOff = task
  }

  /** Sends `100 Continue`; false if the response has to wait for its turn. Node.js would write it between the head and the body then. */
  sendContinue (): boolean {
    if (this.isOver || this.response.headersSent) return true
    if (this.response.socket === null) return false
    this.response.writeContinue()
    return true
  }

  writeHead (status: number, headers: readonly string[]): void {
    if (this.isOver || this.response.headersSent) return
    this.closesConnection = this.options.closesConnection()
    // Without a Connection header Node.js decides by itself, and closes in cases of which the connection's other requests would not know.
    this.response.writeHead(status, [...headers, ...(this.closesConnection ? CLOSE : this.keepAlive)])
  }

  write (chunk: Buffer): boolean {
    if (this.isOver) return true
    const isReady = this.writer.write(chunk)
    this.countUnsent()
    return isReady
  }

  /** Counts nothing for this response any more. */
  release (): void {
    this.isReleased = true
    this.setUnsent(0)
  }

  /**
   * Calls back when the caller has received the buffered data or has disconnected. The connection of a caller that
   * reads nothing for too long is closed.
   */
  whenReady (task: () => void): void {
    const { response } = this
    const { clock, signal, unreadTimeoutMilliseconds } = this.options
    if (this.isOver || !this.writer.needsDrain) {
      task()
      return
    }
    // A response behind another one waits for its turn, not for its caller.
    if (response.socket !== null) this.options.awaitsReader(true)
    const timer = clock.schedule(unreadTimeoutMilliseconds, () => this.abort())
    const finish = (): void => {
      timer.cancel()
      this.options.awaitsReader(false)
      this.reportReady = () => {}
      response.off('close', finish)
      signal.removeEventListener('abort', finish)
      task()
    }
    this.reportReady = finish
    response.on('close', finish)
    signal.addEventListener('abort', finish, { once: true })
  }

  end (trailers: readonly string[]): void {
    if (this.isOver) return
    this.writer.flush()
    if (trailers.length > 0) this.response.addTrailers(toPairs(trailers))
    this.response.end()
    this.countUnsent()
    this.options.ended()
  }

  abort (): void {
    if (this.isOver) return
    this.isBrokenOff = true
    this.writer.discard()
    this.reportBrokenOff()
  }

  /** Some of what was written has been passed on. */
  private advance (): void {
    this.countUnsent()
    if (!this.writer.needsDrain) this.reportReady()
  }

  private countUnsent (): void {
    if (!this.isReleased) this.setUnsent(this.response.writableLength + this.writer.waitingBytes)
  }

  private setUnsent (bytes: number): void {
    const change = bytes - this.unsentBytes
    this.unsentBytes = bytes
    if (change !== 0) this.options.hold(change)
  }

  private get keepAlive (): string[] {
    return ['Connection', 'keep-alive', 'Keep-Alive', `timeout=${Math.floor(this.options.idleMilliseconds / 1_000)}`]
  }

  private get isOver (): boolean {
    return this.isBrokenOff || this.response.destroyed
  }
}

function toPairs (flat: readonly string[]): [string, string][] {
  const list: [string, string][] = []
  for (let index = 0; index < flat.length; index += 2) list.push([flat[index] as string, flat[index + 1] as string])
  return list
}
