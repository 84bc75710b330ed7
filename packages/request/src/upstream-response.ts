import type { Clock } from '@hickoryspoke/runtime/clock'
import { JoinedChunks } from '@hickoryspoke/runtime/joined-chunks'
import { PieceTurns, type PieceShare } from '@hickoryspoke/runtime/piece-turns'
import { Err, Ok, type Result } from 'ts-results-es'
import { AttemptFailure } from './attempt-failure.ts'
import type { RawHeaders } from './header-filter.ts'
import type { ResponseFraming } from './response-framing.ts'

/** Destination of a response body. `write` returns false to apply back-pressure; `whenReady` runs a task once writing may continue. */
export interface BodySink {
  write (chunk: Buffer): boolean
  whenReady (task: () => void): void
}

/** Flow control of the upstream's connection while a response arrives. */
export interface ResponseControl {
  pause (): void
  resume (): void
  abort (failure: AttemptFailure): void
  /** Keeps later requests from using the connection. */
  forgetConnection (): void
}

type BodyResult = Result<RawHeaders, AttemptFailure>

const PAUSE_THRESHOLD_BYTES = 65_536

/**
 * A response that is being received. The body is buffered up to a limit until it is piped into a sink.
 * The response is complete only if its framing was complete.
 */
export class UpstreamResponse {
  private readonly held = JoinedChunks.create()
  private readonly share: PieceShare
  /** Whether nothing more may be held, or the sink takes nothing. */
  private isBlocked = false
  /** Whether others have their turn of the event loop first. */
  private awaitsTurn = false
  private sink: BodySink | undefined
  private outcome: BodyResult | undefined
  private finish: ((outcome: BodyResult) => void) | undefined
  private lastProgressMilliseconds: number
  /** Since when nothing is taken from the upstream; undefined while it may send. */
  private pausedAt: number | undefined
  private earlierPausesMilliseconds = 0
  /** Bytes of the body that arrived. */
  receivedBytes = 0
  /** When the head arrived, on the monotonic clock. */
  readonly arrivedAt: number
  /** Resolves when the buffer has reached its limit and the upstream has been paused. */
  readonly bufferFull: Promise<void>
  private signalBufferFull: () => void = () => {}
  /** Resolves with the trailers once the body is complete, or with the failure that prevents it. */
  readonly whole: Promise<BodyResult>

  private constructor (
    private readonly clock: Clock,
    readonly status: number,
    readonly headers: RawHeaders,
    readonly framing: ResponseFraming,
    private readonly control: ResponseControl,
    turns: PieceTurns
  ) {
    this.share = turns.share(() => this.takeTurn())
    this.arrivedAt = clock.monotonicMilliseconds()
    this.lastProgressMilliseconds = this.arrivedAt
    this.bufferFull = new Promise((resolve) => { this.signalBufferFull = resolve })
    this.whole = new Promise((resolve) => { this.finish = resolve })
  }

  /** `turns` are those of all responses of the process; by default the response has its own. */
  static create (
    clock: Clock, status: number, headers: RawHeaders, framing: ResponseFraming, control: ResponseControl, turns = PieceTurns.create()
  ): UpstreamResponse {
    return new UpstreamResponse(clock, status, headers, framing, control, turns)
  }

  /** Takes a chunk of the body from the upstream. */
  receive (chunk: Buffer): void {
    this.lastProgressMilliseconds = this.clock.monotonicMilliseconds()
    this.receivedBytes += chunk.length
    if (this.sink === undefined) this.hold(chunk)
    else if (!this.sink.write(chunk) && !this.isEnded && !this.isBlocked) this.waitFor(this.sink)
    if (!this.share.take(1)) this.awaitTurn()
  }

  /** Marks the body as complete. */
  complete (trailers: RawHeaders): void {
    this.settle(Ok(trailers))
  }

  /** Marks the body as failed. */
  fail (failure: AttemptFailure): void {
    this.settle(Err(failure))
  }

  get isEnded (): boolean {
    return this.outcome !== undefined
  }

  /** Whether the response has ended and is complete. */
  get isWhole (): boolean {
    return this.outcome?.isOk() === true
  }

  /** Whether the response has ended early. */
  get isBroken (): boolean {
    return this.outcome?.isErr() === true
  }

  /** Time without progress by the upstream; 0 while nothing is taken from it and once the response has ended. */
  get stalledMilliseconds (): number {
    return this.pausedAt !== undefined || this.isEnded ? 0 : this.clock.monotonicMilliseconds() - this.lastProgressMilliseconds
  }

  /** Time since the head arrived, without that for which nothing was taken from the upstream. */
  get upstreamMilliseconds (): number {
    return this.clock.monotonicMilliseconds() - this.arrivedAt - this.pausedMilliseconds
  }

  /** Time for which nothing was taken from the upstream, because the caller applied back-pressure or the buffer was full. */
  get pausedMilliseconds (): number {
    const current = this.pausedAt === undefined ? 0 : this.clock.monotonicMilliseconds() - this.pausedAt
    return this.earlierPausesMilliseconds + current
  }

  /** Streams the body into a sink with back-pressure. Resolves once the body is complete or has failed. */
  async pipeTo (sink: BodySink): Promise<BodyResult> {
    this.sink = sink
    let ready = true
    for (const chunk of this.held.takeAll()) ready = sink.write(chunk)
    if (ready) this.unblock()
    else this.waitFor(sink)
    return await this.whole
  }

  /** The buffered body. Only meaningful for a complete response that has not been piped. */
  bufferedBody (): Buffer {
    return this.held.joined()
  }

  /** Aborts the rest of the response. */
  abort (failure: AttemptFailure): void {
    if (!this.isEnded) this.control.abort(failure)
  }

  /** Discards a response that is not to be believed. Its connection is not used again even if the response was read to its end. */
  reject (): void {
    this.control.forgetConnection()
    this.discard()
  }

  /** Closes the connection of a response that is not used. Does nothing if the response was read to its end. */
  discard (): void {
    this.abort(AttemptFailure.create('hedge_lost', 'the response is not used'))
  }

  private hold (chunk: Buffer): void {
    this.held.append(chunk)
    if (this.held.bytes < PAUSE_THRESHOLD_BYTES) return
    this.block()
    this.signalBufferFull()
  }

  private waitFor (sink: BodySink): void {
    this.block()
    sink.whenReady(() => this.unblock())
  }

  private block (): void {
    this.isBlocked = true
    this.pause()
  }

  private unblock (): void {
    this.isBlocked = false
    this.resume()
  }

  private awaitTurn (): void {
    this.awaitsTurn = true
    this.pause()
  }

  private takeTurn (): void {
    this.awaitsTurn = false
    this.resume()
  }

  private pause (): void {
    this.pausedAt ??= this.clock.monotonicMilliseconds()
    this.control.pause()
  }

  private resume (): void {
    if (this.isBlocked || this.awaitsTurn) return
    this.endPause()
    this.lastProgressMilliseconds = this.clock.monotonicMilliseconds()
    if (!this.isEnded) this.control.resume()
  }

  private endPause (): void {
    this.earlierPausesMilliseconds = this.pausedMilliseconds
    this.pausedAt = undefined
  }

  private settle (outcome: BodyResult): void {
    if (this.outcome !== undefined) return
    this.endPause()
    this.share.leave()
    this.outcome = outcome
    this.finish?.(outcome)
  }
}
