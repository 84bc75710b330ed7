/**
 * How long a request waits for its response, and how long an upstream may take for the rest of a response that is being relayed.
 * Time for which the caller, or its turn on the connection, holds up a response counts for neither.
 */
import type { Clock, Timer } from '@hickoryspoke/runtime/clock'
import { AttemptFailure } from './attempt-failure.ts'

/** After the timeout, a response may go this long without progress by its upstream. */
const MAXIMUM_STALL_MILLISECONDS = 200
/** Time in which what has arrived is read. */
const READ_MILLISECONDS = 10

/** The times of one request. */
export interface ResponseTimes {
  /** Start of the request on the monotonic clock. */
  readonly startedAt: number
  /** Timeout of the route. */
  readonly timeoutMilliseconds: number
  /** How long the caller waits; undefined if it did not say. */
  readonly patienceMilliseconds: number | undefined
}

/** A response that is being relayed. */
export interface LimitedResponse {
  /** Time without progress by the upstream; 0 while the caller holds it up. */
  readonly stalledMilliseconds: number
  /** Time since the head that the upstream took. */
  readonly upstreamMilliseconds: number
  abort (failure: AttemptFailure): void
}

/** Ends what a request waits for at its deadline: attempts without a response, and responses that their upstream holds up. */
export class ResponseDeadline {
  private readonly controller = new AbortController()
  private timer: Timer

  private constructor (private readonly clock: Clock, private readonly times: ResponseTimes) {
    const { timeoutMilliseconds, patienceMilliseconds = Infinity } = times
    const delay = this.remainingMilliseconds(Math.min(timeoutMilliseconds, patienceMilliseconds))
    this.timer = clock.schedule(delay, () => {
      this.timer = this.afterReading(() => this.controller.abort(AttemptFailure.create('deadline_over')))
    })
  }

  static start (clock: Clock, times: ResponseTimes): ResponseDeadline {
    return new ResponseDeadline(clock, times)
  }

  /** Aborts at the deadline. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Runs a task whose signal aborts at the deadline only for as long as the task has no result, or with the given signal. */
  async untilReady<Value> (signal: AbortSignal, task: (signal: AbortSignal) => Promise<Value>): Promise<Value> {
    const waiting = new AbortController()
    const onDeadline = (): void => waiting.abort(this.signal.reason)
    if (this.signal.aborted) onDeadline()
    this.signal.addEventListener('abort', onDeadline)
    try {
      return await task(AbortSignal.any([waiting.signal, signal]))
    } finally {
      this.signal.removeEventListener('abort', onDeadline)
    }
  }

  /**
   * Aborts a response that is being relayed, if after the timeout its upstream stalls, or takes as long as the timeout once more.
   * Returns a function that ends the watch.
   */
  watch (response: LimitedResponse): () => void {
    let upstreamLimit = Infinity
    const check = (): void => {
      timer = failureOf(response, upstreamLimit) === undefined
        ? this.clock.schedule(MAXIMUM_STALL_MILLISECONDS - response.stalledMilliseconds, check)
        : this.afterReading(decide)
    }
    const decide = (): void => {
      const failure = failureOf(response, upstreamLimit)
      if (failure === undefined) check()
      else response.abort(failure)
    }
    let timer = this.clock.schedule(this.remainingMilliseconds(this.times.timeoutMilliseconds), () => {
      upstreamLimit = response.upstreamMilliseconds + this.times.timeoutMilliseconds
      check()
    })
    return () => timer.cancel()
  }

  /** Ends the wait for the deadline. */
  end (): void {
    this.timer.cancel()
  }

  /** Runs a task once what has arrived is read. After a time in which the process did not run, timers run before anything is read. */
  private afterReading (task: () => void): Timer {
    return this.clock.schedule(READ_MILLISECONDS, task)
  }

  private remainingMilliseconds (limitMilliseconds: number): number {
    return Math.max(0, this.times.startedAt + limitMilliseconds - this.clock.monotonicMilliseconds())
  }
}

function failureOf ({ stalledMilliseconds, upstreamMilliseconds }: LimitedResponse, upstreamLimit: number): AttemptFailure | undefined {
  if (stalledMilliseconds >= MAXIMUM_STALL_MILLISECONDS) return AttemptFailure.create('stalled_answer', 'the upstream sends no more after the timeout')
  if (upstreamMilliseconds >= upstreamLimit) return AttemptFailure.create('deadline_over', 'the upstream still sends long after the timeout')
  return undefined
}
