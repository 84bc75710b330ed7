/** The requests of one caller's connection, which are answered in the order in which they were read. */
import type { Socket } from 'node:net'
import type { Refusal } from '@hickoryspoke/request/refusal'
import type { ClientLimiter, LimitedConnection, RequestInWork } from '@hickoryspoke/runtime/client-limiter'
import type { Clock } from '@hickoryspoke/runtime/clock'
import { closeLingering } from '@hickoryspoke/runtime/lingering-close'
import { PacedInput } from '@hickoryspoke/runtime/paced-input'
import { extraHeadBytes } from '@hickoryspoke/runtime/request-head'
import type { NodeExchange } from './caller-node-exchange.ts'
import { writeRefusal } from './caller-raw-refusal.ts'
import type { CallerLimits } from './caller-settings.ts'

/** Dependencies of a `CallerConnection`. */
export interface CallerConnectionOptions {
  readonly clock: Clock
  /** Whether the server is being stopped. */
  readonly isDraining: () => boolean
  readonly limiter: ClientLimiter
  readonly limits: () => CallerLimits
}

/** How long a connection is kept for its caller to read the last response, if it is closed with its input unread. */
const UNREAD_HOLD_MILLISECONDS = 2_000

/** A connection of a caller. Node.js reports its end only to the response that is being sent, so its requests are kept here. */
export class CallerConnection implements LimitedConnection {
  /** Requests without a complete response, in the order in which they were read. */
  private readonly exchanges: NodeExchange[] = []
  private readonly inWork = new WeakMap<NodeExchange, RequestInWork>()
  /** Answer to input that is not a request, sent behind all responses. */
  private refusal: Refusal | undefined
  private closesWhenIdle = false
  /** The last request that was answered. The rest of its body may still have to be read. */
  private lastAnswered: NodeExchange | undefined
  /** When the last response was handed to the operating system, on the monotonic clock. */
  private lastSentAt = -Infinity
  /** Whether nothing more is sent on the connection. */
  private isEnded = false
  private isLingering = false
  /** Whether the limits of this connection alone were reached when they were last asked for. */
  private wasFull = false
  private readonly input: PacedInput
  /** Listeners of Node.js that let responses go on once the caller has read more. It takes them off when it gives a connection up. */
  private readonly drainListeners: readonly (() => void)[]

  private constructor (private readonly socket: Socket, private readonly options: CallerConnectionOptions) {
    const { limiter } = options
    this.drainListeners = socket.listeners('drain') as (() => void)[]
    this.input = PacedInput.attach(socket, {
      turns: limiter.turns,
      isHeld: () => this.isHeld(),
      isInBody: () => this.isInBody,
      // Only the last request can be in its body, so those before it end and make room.
      isBodyHeld: () => this.isBodyHeld(),
      bodyBytes: () => this.exchanges.at(-1)?.bodyBytes,
      bodyPieces: () => (this.exchanges.at(-1) ?? this.lastAnswered)?.bodyPieces ?? 0,
      pieceTurns: limiter.pieceTurns,
      mayKeep: () => limiter.mayKeepInput,
      onKept: (change) => limiter.hold(change)
    })
    limiter.connectionOpened(this)
    socket.once('close', () => {
      this.cancelAll()
      limiter.connectionClosed(this)
    })
    // Node.js handles errors of a socket only as long as its HTTP parser reads from it.
    socket.on('error', () => socket.destroy())
    // Called by Node.js behind a response that closes the connection.
    socket.destroySoon = () => this.close()
  }

  /** A body that is held back here is not one whose caller makes no progress, so its connection must not be dropped for that. */
  private isBodyHeld (): boolean {
    const isHeld = this.exchanges.length > 1 && this.isLimited()
    if (isHeld) this.exchanges.at(-1)?.bodyTaken()
    return isHeld
  }

  static create (socket: Socket, options: CallerConnectionOptions): CallerConnection {
    return new CallerConnection(socket, options)
  }

  /** Whether nothing is left to be sent, or to be received by the caller before the connection is closed. */
  get isIdle (): boolean {
    return this.exchanges.length === 0 && !this.isLingering
  }

  /**
   * Whether the connection closes behind the last request that was read. A request behind that one must not run,
   * because its caller takes it for unread and sends it again.
   */
  get isClosing (): boolean {
    if (this.isEnded || this.refusal !== undefined || this.exchanges.some(({ answer }) => answer.isBrokenOff)) return true
    const last = this.exchanges.at(-1)
    if (last === undefined) return false
    return last.isLast || last.answer.closesConnection || (this.options.isDraining() && !last.answer.isHeadSent)
  }

  add (exchange: NodeExchange): void {
    this.exchanges.push(exchange)
    this.inWork.set(exchange, this.options.limiter.requestBegun(this, extraHeadBytes(exchange.headers)))
    exchange.onSent(() => this.remove(exchange))
    exchange.onBrokenOff(() => this.endIfBrokenOff())
  }

  /** Whether the connection closes behind the response of a request: while the server drains, behind the last one only. */
  closesBehind (exchange: NodeExchange): boolean {
    return this.options.isDraining() && this.exchanges.at(-1) === exchange
  }

  /** Reads further requests as far as the limits allow. */
  readOn (): void {
    this.input.feed()
  }

  suspend (): void {
    if (this.exchanges.length === 0) this.input.suspend()
  }

  get isBetweenRequests (): boolean {
    return this.input.isBetweenRequests
  }

  closeUnused (): void {
    this.socket.destroy()
  }

  /** Handles input that cannot be read on: aborts the request that it is part of, and answers it behind all others. */
  fail (refusal: Refusal): void {
    if (this.isEnded) return
    this.keepDraining()
    const last = this.exchanges.at(-1)
    if (last?.isRead === false) {
      last.abortBody(refusal)
      return
    }
    if (last === undefined && this.lastAnswered?.isRead === false) {
      // The caller has its response already; a second one would be taken for the response to its next request.
      this.close()
      return
    }
    this.refusal = refusal
    this.finishIfIdle()
  }

  /** Lets the responses before the input that cannot be read be sent to their end. */
  private keepDraining (): void {
    const present = this.socket.listeners('drain')
    for (const listener of this.drainListeners) if (!present.includes(listener)) this.socket.on('drain', listener)
  }

  /** Closes the connection as soon as all requests on it are answered. */
  closeWhenIdle (): void {
    this.closesWhenIdle = true
    this.finishIfIdle()
  }

  private remove (exchange: NodeExchange): void {
    const index = this.exchanges.indexOf(exchange)
    if (index === -1) return
    this.exchanges.splice(index, 1)
    this.release(exchange)
    this.lastAnswered = exchange
    this.lastSentAt = this.options.clock.monotonicMilliseconds()
    this.finishIfIdle()
    this.endIfBrokenOff()
    if (this.exchanges.length === 0 && !this.isEnded) this.options.limiter.connectionIdle(this)
    this.exchanges[0]?.takeTurn()
    // Node.js reports that a response was sent before it reads on.
    if (this.input.isKeeping) setImmediate(() => this.readOn())
  }

  private release (exchange: NodeExchange): void {
    exchange.release()
    const counted = this.inWork.get(exchange)
    if (counted !== undefined) this.options.limiter.requestEnded(counted)
  }

  private get isInBody (): boolean {
    return (this.exchanges.at(-1) ?? this.lastAnswered)?.isRead === false
  }

  /** Whether the next request may not be read yet. Where the connection closes in front of it, it never is. */
  private isHeld (): boolean {
    return this.isClosing || this.isLimited()
  }

  private isLimited (): boolean {
    const { exchanges, options: { limits, limiter } } = this
    const { maximumPipelinedRequests, maximumUnsentBytes } = limits()
    const isFull = exchanges.length >= maximumPipelinedRequests + (this.isInBody ? 1 : 0) ||
      exchanges.reduce((sum, { answer }) => sum + answer.unsentBytes, 0) >= maximumUnsentBytes
    if (isFull && !this.wasFull) limiter.pipelineHeld()
    this.wasFull = isFull
    return isFull || limiter.mustWait(this, exchanges.length > 0)
  }

  private finishIfIdle (): void {
    if (!this.isIdle || this.isEnded) return
    if (this.refusal !== undefined) {
      writeRefusal(this.socket, this.refusal)
      this.close()
    } else if (this.closesWhenIdle) {
      if (this.lastAnswered?.isRead === false) this.close()
      else this.closeUnread()
    }
  }

  /** Ends the connection behind what was sent of a response that was broken off, once all before it have been sent. */
  private endIfBrokenOff (): void {
    if (this.exchanges[0]?.answer.isBrokenOff !== true) return
    this.close()
    for (const exchange of this.exchanges.splice(0)) {
      this.release(exchange)
      exchange.abandon()
    }
  }

  /** Closes the connection once its caller has received everything. */
  private close (): void {
    if (this.isEnded) return
    this.isEnded = true
    this.isLingering = true
    this.input.stop()
    closeLingering(this.socket, this.options.clock)
  }

  /**
   * Closes an idle connection. What arrives meanwhile stays unread, which tells its caller that it has not run. It would
   * reset the connection, so a caller that has just been sent a response is given time to read that first.
   */
  private closeUnread (): void {
    const { clock } = this.options
    this.isEnded = true
    this.input.stop()
    this.socket.pause()
    this.socket.end()
    const holdMilliseconds = this.lastSentAt + UNREAD_HOLD_MILLISECONDS - clock.monotonicMilliseconds()
    if (holdMilliseconds <= 0) return
    this.isLingering = true
    const timer = clock.schedule(holdMilliseconds, () => this.socket.destroy())
    this.socket.once('close', () => timer.cancel())
  }

  private cancelAll (): void {
    for (const exchange of this.exchanges.splice(0)) {
      this.release(exchange)
      exchange.cancel()
    }
  }
}
