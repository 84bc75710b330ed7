import type { Clock } from '@hickoryspoke/runtime/clock'
import { Err, Ok, type Result } from 'ts-results-es'
import type { AnswerFraming } from './answer-framing.ts'
import type { AttemptFailure } from './attempt-failure.ts'
import type { RawHeaders } from './header-filter.ts'

/** Receives the body of an answer. `write` returns false while it wants no more, and calls `whenReady` later. */
export interface BodySink {
  write (chunk: Buffer): boolean
  whenReady (task: () => void): void
}

/** Steers the upstream's connection while an answer arrives. */
export interface AnswerControl {
  pause (): void
  resume (): void
  abort (failure: AttemptFailure): void
}

type WholeBody = Result<RawHeaders, AttemptFailure>

const HELD_BYTES_BEFORE_PAUSE = 65_536

/**
 * The answer of one attempt while it arrives. Its body waits, bounded, until a sink takes it;
 * the end is reached only when the framing was complete.
 */
export class UpstreamAnswer {
  private held: Buffer[] = []
  private heldBytes = 0
  private sink: BodySink | undefined
  private outcome: WholeBody | undefined
  private finish: ((outcome: WholeBody) => void) | undefined
  private lastProgressMilliseconds: number
  private waitsForSink = false
  /** Resolves when as much of the body waits here as is held before the upstream is paused. */
  readonly filled: Promise<void>
  private fill: () => void = () => {}
  /** Resolves with the trailers when the body is whole. */
  readonly whole: Promise<WholeBody>

  private constructor (
    private readonly clock: Clock,
    readonly status: number,
    readonly headers: RawHeaders,
    readonly framing: AnswerFraming,
    private readonly control: AnswerControl
  ) {
    this.lastProgressMilliseconds = clock.monotonicMilliseconds()
    this.filled = new Promise((resolve) => { this.fill = resolve })
    this.whole = new Promise((resolve) => { this.finish = resolve })
  }

  static create (clock: Clock, status: number, headers: RawHeaders, framing: AnswerFraming, control: AnswerControl): UpstreamAnswer {
    return new UpstreamAnswer(clock, status, headers, framing, control)
  }

  /** Takes a piece of the body from the upstream. */
  receive (chunk: Buffer): void {
    this.lastProgressMilliseconds = this.clock.monotonicMilliseconds()
    if (this.sink !== undefined) {
      this.pass(chunk)
      return
    }
    this.held.push(chunk)
    this.heldBytes += chunk.length
    if (this.heldBytes < HELD_BYTES_BEFORE_PAUSE) return
    this.control.pause()
    this.fill()
  }

  /** The body came to its end, with these trailers. */
  complete (trailers: RawHeaders): void {
    this.settle(Ok(trailers))
  }

  /** The body will not come to its end. */
  fail (failure: AttemptFailure): void {
    this.settle(Err(failure))
  }

  get isOver (): boolean {
    return this.outcome !== undefined
  }

  /** Milliseconds in which the upstream sent nothing although it could; 0 while the caller is the slow one. */
  get stalledMilliseconds (): number {
    return this.waitsForSink || this.isOver ? 0 : this.clock.monotonicMilliseconds() - this.lastProgressMilliseconds
  }

  /** Streams the body into a sink, with back-pressure, and resolves when it is whole or has failed. */
  async pipeTo (sink: BodySink): Promise<WholeBody> {
    this.sink = sink
    const waiting = this.held
    this.held = []
    let ready = true
    for (const chunk of waiting) ready = sink.write(chunk)
    if (ready) this.resume()
    else this.waitFor(sink)
    return await this.whole
  }

  /** The held body of an answer that is whole. */
  heldBody (): Buffer {
    return this.held.length === 1 ? this.held[0] as Buffer : Buffer.concat(this.held)
  }

  /** Gives up the rest of the answer. */
  abort (failure: AttemptFailure): void {
    if (!this.isOver) this.control.abort(failure)
  }

  private pass (chunk: Buffer): void {
    const sink = this.sink as BodySink
    if (sink.write(chunk) || this.isOver) return
    this.control.pause()
    this.waitFor(sink)
  }

  private waitFor (sink: BodySink): void {
    this.waitsForSink = true
    sink.whenReady(() => this.resume())
  }

  private resume (): void {
    this.waitsForSink = false
    this.lastProgressMilliseconds = this.clock.monotonicMilliseconds()
    if (!this.isOver) this.control.resume()
  }

  private settle (outcome: WholeBody): void {
    if (this.outcome !== undefined) return
    this.outcome = outcome
    this.finish?.(outcome)
  }
}
