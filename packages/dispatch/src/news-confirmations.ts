/** Confirms to the leader which of its news a client has applied. One confirmation serves all news before it, so those that follow closely share one. */
import type { Clock } from '@hickoryspoke/runtime/clock'

/** After a confirmation, the next one waits this long. */
const INTERVAL_MILLISECONDS = 150

/** Confirmations of one stream. */
export class NewsConfirmations {
  private newest = 0
  private sentAt = -Infinity
  private isScheduled = false

  private constructor (private readonly clock: Clock, private readonly send: (revision: number) => void) {}

  /** `send` does nothing once the stream is closed. */
  static create (clock: Clock, send: (revision: number) => void): NewsConfirmations {
    return new NewsConfirmations(clock, send)
  }

  /** All news up to a revision was applied. */
  applied (revision: number): void {
    this.newest = Math.max(this.newest, revision)
    if (this.isScheduled) return
    const wait = this.sentAt + INTERVAL_MILLISECONDS - this.clock.monotonicMilliseconds()
    if (wait <= 0) return this.confirm()
    this.isScheduled = true
    this.clock.schedule(wait, () => this.confirm())
  }

  private confirm (): void {
    this.isScheduled = false
    this.sentAt = this.clock.monotonicMilliseconds()
    this.send(this.newest)
  }
}
