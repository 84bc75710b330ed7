/** When a stopping entry cuts off the requests in flight, and until when it still sends requests to upstreams. */
import type { Clock } from '@hickoryspoke/runtime/clock'

/** No request is sent to an upstream later than this before requests are cut off, as its response would come too late. */
const LAST_SEND_MILLISECONDS = 1_000
/** Time in which a response is sent to the caller before requests are cut off. */
const RESPONSE_RESERVE_MILLISECONDS = 200

/** The end of a planned stop. Infinitely far away until the stop is announced. */
export class StopDeadline {
  private cutAt = Infinity

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): StopDeadline {
    return new StopDeadline(clock)
  }

  /** Requests in flight are cut off after this time. */
  announce (cutMilliseconds: number): void {
    this.cutAt = this.clock.monotonicMilliseconds() + cutMilliseconds
  }

  get isAnnounced (): boolean {
    return this.cutAt < Infinity
  }

  /** Time within which a response must have come from an upstream. */
  get responseMilliseconds (): number {
    return this.remainingMilliseconds - RESPONSE_RESERVE_MILLISECONDS
  }

  /** Time until it is too late to send requests to upstreams. */
  get sendMilliseconds (): number {
    return this.remainingMilliseconds - LAST_SEND_MILLISECONDS
  }

  get isTooLateToSend (): boolean {
    return this.sendMilliseconds <= 0
  }

  private get remainingMilliseconds (): number {
    return this.cutAt - this.clock.monotonicMilliseconds()
  }
}
