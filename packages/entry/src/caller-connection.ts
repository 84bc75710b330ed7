/** The requests of one caller's connection, which are answered in the order in which they were read. */
import type { Socket } from 'node:net'
import type { Refusal } from '@hickoryspoke/request/refusal'
import type { NodeExchange } from './caller-node-exchange.ts'
import { refuseOnSocket } from './caller-raw-refusal.ts'

/** A connection of a caller. Node.js reports its end only to the response that is being sent, so its requests are kept here. */
export class CallerConnection {
  /** Requests without a complete response, in the order in which they were read. */
  private readonly exchanges: NodeExchange[] = []
  /** Answer to input that is not a request, sent behind all responses. */
  private refusal: Refusal | undefined
  private closesWhenIdle = false
  /** The last request that was answered. The rest of its body may still have to be read. */
  private lastAnswered: NodeExchange | undefined

  private constructor (private readonly socket: Socket, private readonly isDraining: () => boolean) {
    socket.once('close', () => this.cancelAll())
  }

  /** `isDraining` tells whether the server is being stopped. */
  static create (socket: Socket, isDraining: () => boolean): CallerConnection {
    return new CallerConnection(socket, isDraining)
  }

  /** Whether all responses have been handed to the operating system. */
  get isIdle (): boolean {
    return this.exchanges.length === 0
  }

  /**
   * Whether the connection closes behind the last request that was read. A request behind that one must not run,
   * because its caller takes it for unread and sends it again.
   */
  get isClosing (): boolean {
    const last = this.exchanges.at(-1)
    if (last === undefined) return false
    return last.answer.closesConnection || (this.isDraining() && !last.answer.isHeadSent)
  }

  add (exchange: NodeExchange): void {
    this.exchanges.push(exchange)
    exchange.onSent(() => this.remove(exchange))
  }

  /** Whether the connection closes behind the response of a request: while the server drains, behind the last one only. */
  closesBehind (exchange: NodeExchange): boolean {
    return this.isDraining() && this.exchanges.at(-1) === exchange
  }

  /** Handles input that cannot be read on: aborts the request that it is part of, and answers it behind all others. */
  fail (refusal: Refusal): void {
    const last = this.exchanges.at(-1)
    if (last?.isRead === false) {
      last.abortBody(refusal)
      return
    }
    if (last === undefined && this.lastAnswered?.isRead === false) {
      // The caller has its response already; a second one would be taken for the response to its next request.
      this.socket.destroy()
      return
    }
    this.refusal = refusal
    this.finishIfIdle()
  }

  /** Closes the connection as soon as all requests on it are answered. */
  closeWhenIdle (): void {
    this.closesWhenIdle = true
    this.finishIfIdle()
  }

  private remove (exchange: NodeExchange): void {
    const index = this.exchanges.indexOf(exchange)
    if (index !== -1) this.exchanges.splice(index, 1)
    this.lastAnswered = exchange
    if (!exchange.answer.closesConnection) this.finishIfIdle()
  }

  private finishIfIdle (): void {
    if (!this.isIdle) return
    if (this.refusal !== undefined) refuseOnSocket(this.socket, this.refusal)
    else if (this.closesWhenIdle) this.socket.destroySoon()
  }

  private cancelAll (): void {
    for (const exchange of this.exchanges.splice(0)) exchange.cancel()
  }
}
