/** Logs announcements that were passed over, in a bounded number of lines of bounded length. */
import type { Clock } from '@hickoryspoke/runtime/clock'
import type { InvalidInput } from '@hickoryspoke/runtime/failure'
import type { Logger } from '@hickoryspoke/telemetry/logger'

/** Odd announcements come again and again, as their writers repeat them. */
const INTERVAL_MILLISECONDS = 10_000
const MAXIMUM_TEXT_LENGTH = 200

/** Counts the announcements that were passed over since the last line. */
export class OddAnnouncementLog {
  private passedOver = 0
  private loggedAt = -Infinity

  private constructor (private readonly clock: Clock, private readonly logger: Logger) {}

  static create (clock: Clock, logger: Logger): OddAnnouncementLog {
    return new OddAnnouncementLog(clock, logger)
  }

  /** Records one that was passed over. `instance` is empty if it could not be read. */
  record (instance: string, failure: InvalidInput): void {
    this.passedOver += 1
    const now = this.clock.monotonicMilliseconds()
    if (now - this.loggedAt < INTERVAL_MILLISECONDS) return
    this.logger.warn('odd announcements passed over', {
      count: this.passedOver, latest: instance.slice(0, MAXIMUM_TEXT_LENGTH), reason: failure.message.slice(0, MAXIMUM_TEXT_LENGTH)
    })
    this.loggedAt = now
    this.passedOver = 0
  }
}
